/** What breaks first as load grows, how many hosts a goal needs, and what a loss would do: a model in closed formulas; no I/O. */
package eiderscale.plan;

/** The command {@code stairshelf} and its subcommands. */
package eiderscale.cli;

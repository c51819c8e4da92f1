/** Experiments from their files to their reports: runs on all cores, results on disk, comparisons, pages with plots. */
package eiderscale.lab.report;

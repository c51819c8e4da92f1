package eiderscale.lab.report;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.config.Experiment;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The report of an experiment: one page that needs nothing else, with plots by uPlot, whose script stands in it. */
public final class Page {
    private static final String LIBRARY = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
    private static final String[] COLOURS = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f"};

    private Page() {
    }

    /** The whole page. */
    public static String of(Experiment experiment, List<Results.One> runs) throws IOException {
        Map<String, List<Results.One>> by = Results.byVariant(runs);
        StringBuilder body = new StringBuilder();
        facts(body, experiment);
        table(body, by);
        broken(body, by);
        return page(experiment.name(), experiment.proves(), body.toString(), plots(by));
    }

    /** Lines over one axis; {@code x}: null for 0, 1, 2 and so on. A value that is no number leaves a gap. */
    public static Map<String, Object> plot(String title, String axis, double[] x, Map<String, double[]> lines) {
        List<Map<String, Object>> drawn = new ArrayList<>();
        int length = x == null ? lines.values().stream().mapToInt(line -> line.length).max().orElse(0) : x.length;
        lines.forEach((name, values) -> {
            List<Double> points = new ArrayList<>();
            for (double value : values) {
                points.add(Double.isFinite(value) ? Double.valueOf(value) : null);
            }
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("name", name);
            line.put("colour", COLOURS[drawn.size() % COLOURS.length]);
            line.put("values", points);
            drawn.add(line);
        });
        Map<String, Object> plot = new LinkedHashMap<>();
        plot.put("title", title);
        plot.put("axis", axis);
        plot.put("length", length);
        plot.put("x", x);
        plot.put("lines", drawn);
        return plot;
    }

    /** A page that needs nothing else. {@code body}: HTML; {@code plots}: made by {@link #plot}. */
    public static String page(String title, String words, String body, List<Map<String, Object>> plots) throws IOException {
        return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(title) + "</title><style>"
                + resource("uPlot.min.css") + "body{font:14px sans-serif;margin:2em;max-width:1100px}table{border-collapse:collapse;margin:1em 0}"
                + "td,th{border:1px solid #bbb;padding:3px 8px;text-align:right}td:first-child,th:first-child{text-align:left}"
                + ".bad{color:#b00}h2{margin-top:1.6em}</style></head><body><h1>" + escaped(title) + "</h1><p>" + escaped(words) + "</p>" + body
                + "<div id=\"plots\"></div><script>" + resource("uPlot.iife.min.js") + "</script><script>const data=" + JSON.std.asString(plots) + ";"
                + SCRIPT + "</script></body></html>\n";
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Page.class.getResourceAsStream(LIBRARY + name)) {
            if (in == null) {
                throw new IOException("the plotting library lacks " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** As text in a page. */
    public static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static void facts(StringBuilder page, Experiment e) {
        page.append("<p>").append(e.balancers()).append(" balancers, zones ").append(escaped(String.join(", ", e.zones()))).append("; hosts: ");
        e.hosts().forEach(h -> page.append(h.count()).append(" ").append(escaped(h.kind())).append(" of ").append(h.slots())
                .append(" slots, "));
        page.append(String.format(Locale.ROOT, "%.0f requests a second, %s; %.0f s, of which the first %.0f are not measured.</p>",
                e.load().rate(), e.load().shape().name().toLowerCase(Locale.ROOT), e.length() / 1e9, e.settle() / 1e9));
        if (!e.injuries().isEmpty()) {
            page.append("<ul>");
            e.injuries().forEach(injury -> page.append("<li>").append(escaped(injury.text())).append("</li>"));
            page.append("</ul>");
        }
    }

    private static void table(StringBuilder page, Map<String, List<Results.One>> by) {
        page.append("<table><tr><th>variant</th><th>runs</th><th>served</th><th>lowest</th><th>worst second</th><th>last tenth</th>"
                + "<th>refused</th><th>failed</th><th>p50 ms</th><th>p99 ms</th><th>attempts</th><th>hits</th><th>ledger/s</th>"
                + "<th>runs not in order</th></tr>");
        by.forEach((name, runs) -> page.append(String.format(Locale.ROOT, "<tr><td>%s</td><td>%d</td><td>%.4f</td><td>%.4f</td><td>%.3f</td>"
                + "<td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.2f</td><td>%.2f</td><td>%.3f</td><td>%.4f</td><td>%.0f</td><td>%d</td></tr>",
                escaped(name), runs.size(), Results.mean(runs, "served"), Results.worst(runs, "served", true),
                Results.worst(runs, "worst-second", true), Results.mean(runs, "last-tenth"), Results.mean(runs, "refused"),
                Results.mean(runs, "failed"), Results.mean(runs, "p50"), Results.mean(runs, "p99"), Results.mean(runs, "attempts"),
                Results.mean(runs, "hits"), Results.worst(runs, "ledger", false),
                runs.stream().filter(one -> !one.broken().isEmpty()).count())));
        page.append("</table>");
    }

    private static void broken(StringBuilder page, Map<String, List<Results.One>> by) {
        by.forEach((name, runs) -> runs.stream().filter(one -> !one.broken().isEmpty()).limit(20).forEach(one ->
                page.append("<p class=\"bad\">").append(escaped(name)).append(", seed ").append(one.seed()).append(": ")
                        .append(escaped(String.join("; ", one.broken()))).append(one.examples().isEmpty() ? "" : "<br>"
                        + escaped(String.join("; ", one.examples()))).append("</p>")));
    }

    private static List<Map<String, Object>> plots(Map<String, List<Results.One>> by) {
        List<Map<String, Object>> plots = new ArrayList<>();
        plots.add(plot("served of asked, by the second", by, "served", "asked"));
        plots.add(plot("refused of asked", by, "refused", "asked"));
        plots.add(plot("failed of asked", by, "failed", "asked"));
        plots.add(plot("p50, ms", by, "p50", null));
        plots.add(plot("p99, ms", by, "p99", null));
        plots.add(plot("attempts for each request that came", by, "attempts", "calls"));
        plots.add(plot("fetches and writes at the ledger, a second", by, "ledger", null));
        return plots;
    }

    private static Map<String, Object> plot(String title, Map<String, List<Results.One>> by, String what, String of) {
        Map<String, double[]> lines = new LinkedHashMap<>();
        by.forEach((name, runs) -> {
            double[] values = Results.meanSeries(runs, what);
            if (of != null) {
                double[] all = Results.meanSeries(runs, of);
                for (int i = 0; i < values.length; i++) {
                    values[i] = all[i] == 0 ? 0 : values[i] / all[i];
                }
            }
            // The last step holds what came after the end.
            lines.put(name, java.util.Arrays.copyOf(values, Math.max(0, values.length - 1)));
        });
        return plot(title, "seconds", null, lines);
    }

    private static final String SCRIPT = "for(const p of data){const x=p.x||[...Array(p.length).keys()];"
            + "new uPlot({title:p.title,width:1000,height:260,scales:{x:{time:false}},axes:[{label:p.axis},{}],"
            + "series:[{label:p.axis},...p.lines.map(l=>({label:l.name,stroke:l.colour,width:1.5}))]},"
            + "[x,...p.lines.map(l=>l.values)],document.getElementById('plots'));}";
}

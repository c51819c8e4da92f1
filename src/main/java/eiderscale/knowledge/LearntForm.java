package eiderscale.knowledge;

import eiderscale.Learnt;
import eiderscale.Learnt.Fleet;
import eiderscale.Learnt.HostWord;
import eiderscale.Learnt.KeyWord;
import eiderscale.Learnt.KindWord;
import eiderscale.Learnt.Latency;
import eiderscale.Learnt.Pressure;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;

/**
 * What a module has learnt as the maps and lists of JSON, and back. Of a row that holds something that no module says, no
 * finite number or a negative time, the whole record is refused: a figure that is not one would stay in a mean for good.
 */
final class LearntForm {
    private static final int MOST_HOSTS = 8192;
    private static final int MOST_ROWS = 4096;
    private static final int HOST = 8;
    private static final int KIND = 5;

    private LearntForm() {
    }

    static Map<String, Object> write(Learnt learnt) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("at", learnt.at());
        map.put("hosts", learnt.hosts().stream().map(h -> List.of(Long.toHexString(h.id()), h.startedAt(), h.coldSince(),
                h.tokens(), h.filledAt(), h.latency(), h.evidence(), h.openUntil())).toList());
        map.put("kinds", learnt.kinds().stream().map(k -> List.of(k.kind(), k.answers(), k.busy(), k.at(), k.factor())).toList());
        Fleet f = learnt.fleet();
        map.put("fleet", List.of(f.coldBusy(), f.warmBusy(), f.searches(), f.searchedAt(), f.connectFailures(), f.failing()));
        Pressure p = learnt.pressure();
        map.put("pressure", List.of(p.fills(), p.admitted(), p.loadAt(), p.writeTime(), p.hitTime(), p.missTime()));
        map.put("latency", Map.of("means", learnt.latency().means(), "weights", learnt.latency().weights(),
                "begun", learnt.latency().begun(), "quantile", learnt.latency().quantile()));
        map.put("keys", learnt.hotKeys().stream().map(k -> List.of(Long.toHexString(k.key()), k.count())).toList());
        map.put("counted", learnt.counted());
        map.put("reports", learnt.reports());
        return map;
    }

    /** Throws one of the exceptions that {@link Knowledge#decode} takes for a body that cannot be read. */
    static Learnt read(Map<?, ?> map) {
        List<HostWord> hosts = new ArrayList<>();
        for (Object one : rows(map.get("hosts"), MOST_HOSTS)) {
            Row r = new Row(one, HOST);
            hosts.add(new HostWord(r.id(0), r.time(1), r.time(2), r.real(3), r.time(4), r.least(5, 0), r.least(6, 0), r.time(7)));
        }
        List<KindWord> kinds = new ArrayList<>();
        for (Object one : rows(map.get("kinds"), MOST_ROWS)) {
            Row r = new Row(one, KIND);
            kinds.add(new KindWord((int) r.time(0), r.least(1, 0), r.least(2, 0), r.time(3), r.least(4, 1e-3)));
        }
        Row f = new Row(map.get("fleet"), 6);
        Row p = new Row(map.get("pressure"), 6);
        Map<?, ?> l = (Map<?, ?>) map.get("latency");
        List<Double> means = new ArrayList<>();
        List<Integer> weights = new ArrayList<>();
        Row allMeans = new Row(l.get("means"), -1);
        Row allWeights = new Row(l.get("weights"), allMeans.size());
        for (int i = 0; i < allMeans.size(); i++) {
            means.add(allMeans.least(i, 0));
            weights.add((int) allWeights.least(i, 1));
        }
        List<KeyWord> keys = new ArrayList<>();
        for (Object one : rows(map.get("keys"), MOST_ROWS)) {
            Row r = new Row(one, 2);
            keys.add(new KeyWord(r.id(0), (int) r.least(1, 0)));
        }
        Row last = new Row(List.of(map.get("at"), l.get("begun"), l.get("quantile"), map.get("counted")), 4);
        return new Learnt(last.time(0), hosts, kinds,
                new Fleet(f.share(0), f.share(1), f.least(2, 0), f.time(3), f.share(4), f.share(5)),
                new Pressure(p.share(0), p.share(1), p.time(2), p.time(3), p.least(4, 0), p.least(5, 0)),
                new Latency(means, weights, last.time(1), last.time(2)), keys, (int) last.least(3, 0), (Boolean) map.get("reports"));
    }

    private static List<?> rows(Object list, int most) {
        List<?> rows = (List<?>) list;
        if (rows.size() > most) {
            throw new IllegalArgumentException("too many rows");
        }
        return rows;
    }

    /** Numbers in their places. */
    private static final class Row {
        private static final DoubleUnaryOperator FINITE = x -> {
            if (!Double.isFinite(x)) {
                throw new IllegalArgumentException("no number");
            }
            return x;
        };

        private final List<?> values;

        /** {@code size}: negative for any up to a bound. */
        Row(Object list, int size) {
            values = rows(list, MOST_ROWS);
            if (size >= 0 && values.size() != size) {
                throw new IllegalArgumentException("a row of another length");
            }
        }

        int size() {
            return values.size();
        }

        long id(int at) {
            return Long.parseUnsignedLong((String) values.get(at), 16);
        }

        double real(int at) {
            return FINITE.applyAsDouble(((Number) values.get(at)).doubleValue());
        }

        double least(int at, double least) {
            if (real(at) < least) {
                throw new IllegalArgumentException("too small");
            }
            return real(at);
        }

        double share(int at) {
            if (real(at) > 1 + 1e-9) {
                throw new IllegalArgumentException("no share");
            }
            return least(at, 0);
        }

        long time(int at) {
            long time = ((Number) values.get(at)).longValue();
            if (time < 0) {
                throw new IllegalArgumentException("before all time");
            }
            return time;
        }
    }
}

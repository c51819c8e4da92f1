package review;

import java.util.ArrayList;
import java.util.List;

/** The settings object of a balancer's configuration; begins with the figures of the site file kochi-statements. */
public final class Settings {
    private record RequestClass(String name, String effect, long aimMs, long deadlineMs, double lateWorth, long windowMs) {
        String json() {
            return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"stream\":false,\"worth\":1.0,"
                    + "\"late-worth\":" + lateWorth + ",\"goal-time-ns\":" + aimMs * 1_000_000 + ",\"deadline-ns\":"
                    + deadlineMs * 1_000_000 + ",\"window-ns\":" + windowMs * 1_000_000 + "}";
        }
    }

    private final List<RequestClass> classes = new ArrayList<>();
    private int instances = 1;

    /** The three classes of the site. */
    public static Settings kochi() {
        return new Settings().requestClass("view-statement", "retryable", 750, 1500, 0.5, 5000)
                .requestClass("request-copy", "fragile", 750, 2500, 0.5, 5000)
                .requestClass("update-nominee", "dedup", 750, 2500, 0.3, 5000);
    }

    /** Adds a class. */
    public Settings requestClass(String name, String effect, long aimMs, long deadlineMs, double lateWorth, long windowMs) {
        classes.add(new RequestClass(name, effect, aimMs, deadlineMs, lateWorth, windowMs));
        return this;
    }

    /** How many balancers the tier has. */
    public Settings instances(int count) {
        instances = count;
        return this;
    }

    /** The object for the balancer of this rank. */
    public String json(int rank) {
        List<String> all = new ArrayList<>();
        for (RequestClass requestClass : classes) {
            all.add(requestClass.json());
        }
        return """
                {"n-instances":%d,"rank":%d,"tier":0,"stages":["stmt-cache"],"workload":"cache","counted-by":"request",
                 "categories":[%s],
                 "callers":{"marks-retry":true},"discovery":"subscribe",
                 "family-info":{"mode":"through","origin-kind":-1},
                 "goal":{"whole":0.4,"worst-class":0.1,"worst-tenant":0.4,"worst-window":0.1},
                 "kinds":["fast-single","slow-single"],"zones":["kochi-hall","thrissur-hall","kollam-hall"],"my-zone":0,
                 "ceilings":{"cancelling":true,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000,"max-attempts":4,
                   "max-open":20000,"max-retry-after-ns":2000000000,"may-duplicate":true,"multiplex":1,"peer-messages":false,
                   "probing":true,"retry-after":true,"cpu-us-per-request":10.0,"cpu-us-per-s":15000},
                 "load-report":{"fields":["busy"],"source":"answers"},"over-share-worth":0.05,
                 "guarantees":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"cold-from":0.17,"fall-ns":2000000000,
                   "stop-sending-within-ns":1000000000,"tip-multiple":4.0,"warm-within-ns":24000000000},
                 "tenants":[{"name":"state-staff","allowance-per-s":2000.0,"fraction":0.43},
                   {"name":"teachers","allowance-per-s":2000.0,"fraction":0.57}],
                 "tick-ns":5000000,"weights":"rough"}
                """.formatted(instances, rank, String.join(",", all));
    }
}

package eiderscale.plan;

import eiderscale.Api;
import eiderscale.config.DescriptorPlan;
import eiderscale.config.Experiment;
import java.util.ArrayList;
import java.util.List;

/**
 * What is planned: hosts by kind and zone, what stands behind them, balancers, and what clients ask. Times in seconds, rates
 * a second. {@code reads}: the part of requests that are safe; {@code aim}, {@code deadline}: of the class that is asked for
 * most; {@code further}: attempts beside the first, of a call, that the budget allows; {@code hedgeAt}: the quantile of latencies
 * after which a copy goes out, 1 for none; {@code clients}, {@code links}: connections that one balancer has room for;
 * {@code balancerRate}: attempts a second that one balancer's cores can do, 0 if that is not known.
 */
public record Fleet(List<Hosts> hosts, Ledger ledger, int balancers, int zones, Demand demand, double reads, double aim, double deadline,
                    double further, double hedgeAt, double way, double clientWay, int clients, int links, double balancerRate,
                    int candidates) {
    private static final double NS = 1e-9;

    /** Hosts of one kind in one zone. {@code cv}: standard deviation of the work beside its mean; {@code cost}: of one. */
    public record Hosts(String kind, int zone, int count, int slots, int queue, double work, double cv, double keeps, double weight,
                        int connections, double fails, double cost) {
        /** The same, but so many. */
        public Hosts of(int many) {
            return new Hosts(kind, zone, many, slots, queue, work, cv, keeps, weight, connections, fails, cost);
        }
    }

    /** Places that work at one time, a line before them, and the time that one fetch or write takes. */
    public record Ledger(int places, int queue, double work, double cv) {
    }

    /** Operations a second, whose tries count as one, and the habits of those that want them. */
    public record Demand(double rate, Popularity popularity, int retries, double backOff) {
    }

    /** What an experiment's file describes, with the settings of its application. */
    public static Fleet of(Experiment experiment, Experiment.Settings settings) {
        List<Hosts> hosts = new ArrayList<>();
        int zones = experiment.zones().size();
        int at = 0;
        for (Experiment.Hosts kind : experiment.hosts()) {
            // Dealt out over the zones one by one, as the laboratory does.
            int[] counts = new int[zones];
            for (int i = 0; i < kind.count(); i++) {
                counts[at++ % zones]++;
            }
            for (int zone = 0; zone < zones; zone++) {
                if (counts[zone] > 0) {
                    hosts.add(new Hosts(kind.kind(), zone, counts[zone], kind.slots(), kind.queue(), kind.work() * NS, kind.spread(),
                            kind.keeps(), kind.weight(), kind.connections(), kind.fails(), kind.cost()));
                }
            }
        }
        Experiment.Load load = experiment.load();
        Api.Settings module = settings.module();
        double reads = 0;
        double most = -1;
        Api.RequestClass main = module.classes().get(0);
        List<Experiment.Mix> mix = experiment.mix().isEmpty() ? List.of(new Experiment.Mix(settings.classes().get(0), 1)) : experiment.mix();
        for (Experiment.Mix one : mix) {
            Api.RequestClass c = module.classes().get(settings.classes().indexOf(one.requestClass()));
            reads += c.effect() == Api.Effect.RETRYABLE ? one.share() : 0;
            if (one.share() > most) {
                most = one.share();
                main = c;
            }
        }
        Experiment.Network network = experiment.network();
        double jitter = 1 + network.jitter() / 2;
        double far = zones == 1 ? 0 : (zones - 1.0) / zones;
        double further = module.budget() == null ? 0.2 : module.budget().share() + module.budget().free() / Math.max(1,
                load.rate() / experiment.balancers() * module.budget().span() * NS);
        Experiment.Ledger ledger = experiment.ledger();
        return new Fleet(List.copyOf(hosts), new Ledger(ledger.places(), ledger.queue(), ledger.work() * NS, ledger.spread()),
                experiment.balancers(), zones, new Demand(load.rate(), Popularity.zipf(load.keys(), load.zipf(), load.hot()), load.retries(),
                load.backOff() * NS), reads, main.aim() * NS, main.deadline() * NS, further,
                module.mayDuplicate() && main.hedge() ? module.hedgeQuantile() : 1,
                (network.near() * (1 - far) + network.far() * far) * jitter * NS, network.client() * jitter * NS,
                settings.plan().clients(), settings.plan().links(), experiment.balancerRate(), module.candidates());
    }

    /** The same hosts with other numbers of them, in the same order. */
    public Fleet with(List<Hosts> others) {
        return new Fleet(List.copyOf(others), ledger, balancers, zones, demand, reads, aim, deadline, further, hedgeAt, way, clientWay, clients,
                links, balancerRate, candidates);
    }

    /** The same fleet and so many times the load. */
    public Fleet loaded(double factor) {
        return demanding(new Demand(demand.rate() * factor, demand.popularity(), demand.retries(), demand.backOff()));
    }

    /** The same fleet, whose clients try again so often. */
    public Fleet retrying(int retries) {
        return demanding(new Demand(demand.rate(), demand.popularity(), retries, demand.backOff()));
    }

    private Fleet demanding(Demand other) {
        return new Fleet(hosts, ledger, balancers, zones, other, reads, aim, deadline, further, hedgeAt, way, clientWay, clients, links,
                balancerRate, candidates);
    }

    /** Without the hosts of a zone. */
    public Fleet without(int zone) {
        return with(hosts.stream().filter(one -> one.zone() != zone).toList());
    }

    /** How many hosts there are. */
    public int count() {
        return hosts.stream().mapToInt(Hosts::count).sum();
    }

    /** What they cost together. */
    public double cost() {
        return hosts.stream().mapToDouble(one -> one.count() * one.cost()).sum();
    }

    /** Whether hosts keep copies of what the ledger has; otherwise it is never asked. */
    public boolean keepsCopies() {
        return hosts.stream().anyMatch(one -> one.keeps() > 0);
    }
}

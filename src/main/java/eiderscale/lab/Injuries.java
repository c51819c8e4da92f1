package eiderscale.lab;

import eiderscale.Api;
import eiderscale.config.Experiment;
import java.util.ArrayList;
import java.util.List;

/** The script of what goes wrong. */
final class Injuries {
    private final World world;

    Injuries(World world) {
        this.world = world;
    }

    void plan(List<Experiment.Injury> script) {
        for (int i = 0; i < script.size(); i++) {
            Experiment.Injury injury = script.get(i);
            int number = i;
            world.events.at(injury.at(), () -> {
                world.traceAll("injury: " + injury.text());
                begin(injury, number);
            });
        }
    }

    private List<LabHost> targets(Experiment.Injury injury) {
        List<LabHost> found = new ArrayList<>(world.hosts);
        found.removeIf(host -> !injury.names(host.name, world.zoneName(host.zone)));
        return found.subList(0, injury.meets(found.size()));
    }

    private void later(Experiment.Injury injury, Runnable end) {
        if (injury.length() > 0) {
            world.events.in(injury.length(), () -> {
                world.traceAll("over: " + injury.text());
                end.run();
            });
        }
    }

    private void begin(Experiment.Injury injury, int number) {
        List<LabHost> hosts = List.copyOf(targets(injury));
        double factor = injury.factor();
        switch (injury.what()) {
            case "kill" -> {
                hosts.forEach(this::kill);
                later(injury, () -> hosts.forEach(this::back));
            }
            case "restart" -> hosts.forEach(host -> {
                kill(host);
                world.events.in(1_000_000, () -> back(host));
            });
            case "replace" -> hosts.forEach(host -> {
                long old = host.id;
                kill(host);
                world.events.in(Math.max(1_000_000, injury.length()), () -> {
                    world.discovery.changed(host, old, Api.State.GONE);
                    host.id = Luck.mix(old + 77);
                    back(host);
                });
            });
            case "silence" -> {
                hosts.forEach(host -> {
                    host.silent = true;
                    world.discovery.died(host);
                });
                later(injury, () -> hosts.forEach(host -> {
                    host.silent = false;
                    world.discovery.ready(host);
                }));
            }
            case "slow" -> {
                hosts.forEach(host -> host.slow(factor));
                later(injury, () -> hosts.forEach(host -> host.slow(1)));
            }
            case "half" -> {
                hosts.forEach(host -> host.half(true));
                later(injury, () -> hosts.forEach(host -> host.half(false)));
            }
            case "fail" -> {
                hosts.forEach(host -> host.failing(Math.min(1, factor)));
                later(injury, () -> hosts.forEach(host -> host.failing(0)));
            }
            case "pause" -> {
                hosts.forEach(host -> host.pause(true));
                later(injury, () -> hosts.forEach(host -> host.pause(false)));
            }
            case "drain" -> {
                hosts.forEach(host -> {
                    host.listed = Api.State.DRAINING;
                    world.discovery.changed(host, host.id, Api.State.DRAINING);
                });
                later(injury, () -> hosts.forEach(world.discovery::ready));
            }
            case "offline" -> {
                world.balancers.forEach(balancer -> hosts.forEach(host -> balancer.operate(host, true)));
                later(injury, () -> world.balancers.forEach(balancer -> hosts.forEach(host -> balancer.operate(host, false))));
            }
            case "renew" -> world.balancers.forEach(balancer -> balancer.renew(Math.max(1, (int) factor)));
            case "flush" -> hosts.forEach(host -> host.flush(Math.min(1, factor)));
            case "grow" -> world.grow((int) Math.round(hosts.size() * (factor - 1)), number);
            case "ledger-slow" -> {
                world.ledger.slow(factor);
                later(injury, () -> world.ledger.slow(1));
            }
            case "ledger-down" -> {
                world.ledger.down(true);
                later(injury, () -> world.ledger.down(false));
            }
            case "discovery-down" -> {
                world.discovery.down(true);
                later(injury, () -> world.discovery.down(false));
            }
            case "surge" -> world.clients.surge(world.balancers, "surge " + number, factor,
                    injury.length() == 0 ? world.experiment.length() : world.now() + injury.length());
            case "balancer-kill" -> List.copyOf(some(injury)).forEach(balancer -> world.killed(balancer, injury.length()));
            case "balancer-gone" -> List.copyOf(some(injury)).forEach(balancer -> world.killed(balancer, -1));
            case "discovery-busy" -> {
                world.discovery.busy(factor);
                later(injury, () -> world.discovery.busy(1));
            }
            case "balancer-stall" -> some(injury).forEach(balancer -> balancer.stall(world.now() + Math.max(1, injury.length())));
            case "crowd" -> world.balancers.forEach(balancer -> balancer.door().crowd((int) factor,
                    injury.length() == 0 ? world.experiment.length() : world.now() + injury.length()));
            case "cut" -> {
                world.cut(injury.zone(), true);
                later(injury, () -> world.cut(injury.zone(), false));
            }
            default -> throw new IllegalArgumentException(injury.what());
        }
    }

    private List<LabBalancer> some(Experiment.Injury injury) {
        return world.balancers.subList(0, injury.meets(world.balancers.size()));
    }

    private void kill(LabHost host) {
        host.die();
        world.balancers.forEach(balancer -> balancer.died(host));
        world.discovery.died(host);
    }

    private void back(LabHost host) {
        host.start();
        world.discovery.ready(host);
    }
}

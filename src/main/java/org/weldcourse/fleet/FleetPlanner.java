package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;

/**
 * Which machines to rent for what waits, as a pure function. Work that can wait a little shares the machines
 * that are there or on their way; gangs and what is short of time get machines of their own.
 */
public final class FleetPlanner {
    private FleetPlanner() {
    }

    /** A kind of machine in a place: what a rental request names. */
    public record Offer(String type, String zone, boolean spot) {
    }

    /** A machine that is up, or on its way. */
    public record Host(MachineType type, String zone, boolean spot, boolean booting) {
    }

    /**
     * Tasks that wait, in order of importance. {@code horizonMicros} is how long the whole of it may take once
     * started; {@code runMicros} how long one task is expected to run.
     */
    public record Need(JobSpec job, int tasks, long runMicros, long horizonMicros) {
    }

    public record Rental(Offer offer, int count) {
    }

    /** Room on a host that needs take from: whole slots for gangs, work for arrays. */
    private static final class Supply {
        final Host host;
        double gangCpus;
        double workCpuMicros = -1;

        Supply(Host host) {
            this.host = host;
            this.gangCpus = host.booting() ? host.type().cpus() : 0;
        }
    }

    public static List<Rental> plan(List<Need> needs, List<Host> hosts, List<MachineType> types,
            Set<Offer> refused, int mostMachines) {
        List<Supply> supplies = new ArrayList<>();
        hosts.forEach(host -> supplies.add(new Supply(host)));
        Map<Offer, Integer> counts = new HashMap<>();
        List<Offer> order = new ArrayList<>();
        int rented = 0;
        for (Need need : needs) {
            double left = need.job().gang() ? takeSlots(need, supplies) : takeWork(need, supplies);
            while (left > 0 && rented < mostMachines) {
                Choice best = best(need, types, refused, counts);
                if (best == null) {
                    break;
                }
                Offer offer = best.offer;
                if (counts.merge(offer, 1, Integer::sum) == 1) {
                    order.add(offer);
                }
                rented++;
                Supply supply = new Supply(new Host(best.type, offer.zone(), offer.spot(), true));
                supplies.add(supply);
                left -= need.job().gang() ? takeSlots(supply, need, (int) left) : takeWork(supply, need, left);
            }
        }
        List<Rental> rentals = new ArrayList<>();
        for (Offer offer : order) {
            rentals.add(new Rental(offer, counts.get(offer)));
        }
        return rentals;
    }

    private static boolean allowed(JobSpec job, Host host) {
        return host.type().fits(job) && job.allowsZone(host.zone()) && (job.spot() || !host.spot());
    }

    private static double takeSlots(Need need, List<Supply> supplies) {
        int left = need.tasks();
        for (Supply supply : supplies) {
            left -= takeSlots(supply, need, left);
        }
        return left;
    }

    private static int takeSlots(Supply supply, Need need, int wanted) {
        if (wanted == 0 || !allowed(need.job(), supply.host)) {
            return 0;
        }
        int slots = (int) Math.min(supply.host.type().tasksThatFit(need.job()),
                Math.floor((supply.gangCpus + MachineType.EPSILON) / need.job().cpus()));
        int taken = Math.min(wanted, slots);
        supply.gangCpus -= taken * need.job().cpus();
        return taken;
    }

    private static double takeWork(Need need, List<Supply> supplies) {
        double left = (double) need.tasks() * need.runMicros() * need.job().cpus();
        for (Supply supply : supplies) {
            left -= takeWork(supply, need, left);
        }
        return left;
    }

    private static double takeWork(Supply supply, Need need, double wanted) {
        if (wanted <= 0 || !allowed(need.job(), supply.host)) {
            return 0;
        }
        if (supply.workCpuMicros < 0) {
            int slots = supply.host.type().tasksThatFit(need.job());
            double share = supply.host.booting() ? 1 : 0.8;
            supply.workCpuMicros = share * slots * need.job().cpus() * Math.max(need.horizonMicros(), need.runMicros());
        }
        double taken = Math.min(wanted, supply.workCpuMicros);
        supply.workCpuMicros -= taken;
        return taken;
    }

    private record Choice(Offer offer, MachineType type, double cost) {
    }

    private static Choice best(Need need, List<MachineType> types, Set<Offer> refused, Map<Offer, Integer> counts) {
        List<Choice> choices = new ArrayList<>();
        for (MachineType type : types) {
            if (!type.fits(need.job())) {
                continue;
            }
            int slots = Math.max(1, type.tasksThatFit(need.job()));
            int used = need.job().gang() ? Math.min(slots, need.tasks()) : slots;
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Offer offer = new Offer(type.name(), zone, spot);
                    if (spot && !need.job().spot() || !need.job().allowsZone(zone) || refused.contains(offer)) {
                        continue;
                    }
                    // Booting is paid and brings nothing: it weighs against a nominal stay of three minutes.
                    double boot = 1 + type.bootMicros() / 180e6;
                    // Spread over offers: one that was chosen in this plan already is likelier to be full.
                    double crowd = 1 + 0.02 * counts.getOrDefault(offer, 0);
                    choices.add(new Choice(offer, type, type.price(spot) / (used * need.job().cpus()) * boot * crowd));
                }
            }
        }
        return choices.stream().min(Comparator.comparingDouble((Choice choice) -> choice.cost)
                .thenComparing(choice -> choice.offer.toString())).orElse(null);
    }
}

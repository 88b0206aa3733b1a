package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.admission.MachinePreemption.PlacementOption;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.jobs.JobSpec;

/** A possible placement of a gang: the machines, the tasks to preempt there, and its cost in CPU-seconds. */
record GangPlacement(Map<FreeCapacity, Integer> tasksByMachine, List<PlacementOption> options, double cost) {
    /** The cheapest placement on these machines, or null if the gang does not fit. */
    static GangPlacement of(
            JobView job,
            TeamUsage usage,
            int tasks,
            List<FreeCapacity> domain,
            boolean preempt,
            MachinePreemption preemption) {
        List<PlacementOption> options = options(job, usage, tasks, domain, preempt, preemption);
        return selectCheapest(job.spec(), tasks, options);
    }

    private static List<PlacementOption> options(
            JobView job,
            TeamUsage usage,
            int tasks,
            List<FreeCapacity> domain,
            boolean preempt,
            MachinePreemption preemption) {
        JobSpec spec = job.spec();
        List<PlacementOption> options = new ArrayList<>();
        boolean claimsGuarantee = preemption.claimsGuarantee(job, usage);
        double cheapest = Double.POSITIVE_INFINITY;
        for (FreeCapacity capacity : domain) {
            cheapest = Math.min(cheapest, capacity.pricePerCpu);
        }
        for (FreeCapacity capacity : domain) {
            double baseCost = capacity.fetchSeconds(spec) * spec.cpus();
            if (cheapest > 0) {
                // Charge the higher price of this machine for the whole run, so that a more expensive machine is used
                // only where preemption on a cheap one would cost more.
                baseCost += job.expectedRunMicros() / 1e6 * spec.cpus() * (capacity.pricePerCpu / cheapest - 1);
            }
            if (!preempt) {
                if (capacity.fits(spec) > 0) {
                    // The small cost of free CPUs breaks ties in favor of the machines that the tasks fill best.
                    options.add(new PlacementOption(
                            capacity, capacity.fits(spec), List.of(), baseCost + capacity.cpus * 1e-3));
                }
                continue;
            }
            if (capacity.fits(spec) == 0 && !preemption.mayHaveVictims(job, claimsGuarantee, capacity)) {
                continue;
            }
            PlacementOption option = preemption.optionOn(job, usage, capacity, tasks, baseCost);
            if (option != null) {
                options.add(option);
            }
        }
        return options;
    }

    /** Takes the options with the lowest cost per task until all tasks are placed; null if they do not suffice. */
    private static GangPlacement selectCheapest(JobSpec spec, int tasks, List<PlacementOption> options) {
        options.sort(Comparator.comparingDouble(PlacementOption::costPerTask)
                .thenComparing(option -> option.capacity().machine.name()));
        Map<FreeCapacity, Integer> tasksByMachine = new LinkedHashMap<>();
        ZoneBudget zones = new ZoneBudget(spec, null, ZoneCounts.NONE);
        List<PlacementOption> chosen = new ArrayList<>();
        double cost = 0;
        int left = tasks;
        for (PlacementOption option : options) {
            String zone = option.capacity().machine.zone();
            int take = Math.min(Math.min(left, option.tasks()), zones.remaining(zone));
            if (take <= 0) {
                continue;
            }
            tasksByMachine.put(option.capacity(), take);
            zones.consume(zone, take);
            chosen.add(option);
            cost += option.cost();
            left -= take;
            if (left == 0) {
                return new GangPlacement(tasksByMachine, chosen, cost);
            }
        }
        return null;
    }
}

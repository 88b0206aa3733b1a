package org.weldcourse.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.Booking;
import org.weldcourse.admission.ClusterState;
import org.weldcourse.admission.Machine;
import org.weldcourse.fleet.FleetPlanner.Offer;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.Tuning;
import org.weldcourse.store.RateLimiter;

/** Rents for what waits, returns what is idle, silent, faulty or never came up, and adopts what it finds. */
public final class MachinePool extends ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(MachinePool.class);
    private static final long STEP_MICROS = 1_000_000;
    private static final long LIST_MICROS = 6_000_000;
    private static final long REFUSED_MICROS = 15_000_000;
    /** A machine is charged for this long at least, with a little less so that it goes before the next second. */
    private static final long LEAST_CHARGED_MICROS = 58_000_000;

    private static final double LOAD_MEMORY_MICROS = 60e6;
    private static final long TAKEN_MARGIN_MICROS = 1_000_000;
    private static final double SPOT_PATIENCE = 0.6;
    /** After this part of a lease a machine counts as silent when its zone is looked at. */
    private static final double ZONE_SILENCE = 0.4;
    /** Machines of the earlier leader are waited for a little longer than their lease. */
    private static final long INHERITED_MARGIN_MICROS = 5_000_000;

    private static final int MOST_PER_REQUEST = 50;
    private static final int MOST_NEW_AT_ONCE = 200;
    private static final int JOBS_TO_BLAME_MACHINE = 2;
    /** After an election workers need a report to find the new leader and one more under its token. */
    private static final int TAKE_OVER_REPORTS = 2;
    /** And some time to notice that their old connection is dead. */
    private static final long TAKE_OVER_RECONNECT_MICROS = 4_000_000;
    /** Machines that died with the old leader are never heard of: a new one does not wait for the last of them. */
    private static final double TAKE_OVER_UNHEARD_SHARE = 0.1;

    private final ClusterState cluster;
    private final Cloud cloud;
    private final MachineTypesTask types;
    private final Settings settings;
    private final Tuning tuning;
    private final long token;
    private final Office office;
    private final RateLimiter calls;
    private final long startedMicros;
    private final Map<Offer, Long> refusedUntil = new HashMap<>();
    private final Map<String, JobSpec> startAims = new HashMap<>();
    private final Map<String, Long> lastSeenMicros = new HashMap<>();
    /** Names whose release was answered: the lagging list and late reports still speak of them for a while. */
    private final Set<String> releasedNames = new HashSet<>();

    private final ArrayDeque<Runnable> again = new ArrayDeque<>();
    private List<FleetPlanner.Need> needs = List.of();
    private Set<String> held = Set.of();
    /** By class with an aim for its start: the part of the CPUs it may use that it had of late. */
    private final Map<String, Double> soughtLoad = new HashMap<>();

    private final Spending spending = new Spending();
    private long nextListMicros;
    private long requests;
    private int rentalsInFlight;
    private boolean releaseInFlight;
    private boolean hearsMost = true;
    private Set<String> silentZones = Set.of();
    private boolean listInFlight;
    private boolean hasListed;

    /** The term that the fleet is kept for. */
    public interface Office {
        /** Whether the leader's lease holds: without it nothing is rented or returned. */
        boolean holds();

        /** Machines are known to be gone, and their tasks are free. */
        void machinesGone();
    }

    /** The keeper of the machines for the term with this token. */
    public MachinePool(
            ClusterState cluster,
            Cloud cloud,
            MachineTypesTask types,
            Settings settings,
            Tuning tuning,
            long token,
            Clock clock,
            Timers timers,
            Office office) {
        super("fleet", clock, timers);
        this.cluster = cluster;
        this.cloud = cloud;
        this.types = types;
        this.settings = settings;
        this.tuning = tuning;
        this.token = token;
        this.office = office;
        this.calls = new RateLimiter(
                clock,
                settings.cloud().requestsPerSecond() * 0.8,
                settings.cloud().requestsPerSecond());
        this.startedMicros = clock.nowMicros();
    }

    /** What found no room in the last admission cycle, and the machines that wait for the rest of a gang's. */
    public void need(List<FleetPlanner.Need> waiting, Set<String> heldMachines) {
        needs = waiting;
        held = heldMachines;
    }

    /** Remembers the shape of jobs whose class has an aim for its start. */
    public void jobSeen(JobSpec job) {
        for (Settings.Objective aim : settings.objectives()) {
            if (aim.kind().equals("wait") && aim.jobClass().equals(job.jobClass())) {
                seekStarts(job);
            }
        }
        if (job.service()) {
            // All the time until a replica runs is time not served, whether or not its class has an aim for its start.
            seekStarts(job);
        }
    }

    private void seekStarts(JobSpec job) {
        startAims.put(job.jobClass(), job);
        lastSeenMicros.put(job.jobClass(), clock.nowMicros());
    }

    /** Whether the cloud confirmed the return of the machine. */
    public boolean isGone(String machine) {
        return releasedNames.contains(machine);
    }

    private void countSoughtLoad() {
        Map<String, Double> taken = new HashMap<>();
        Map<String, Double> all = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (!machine.isUp() || machine.type == null) {
                continue;
            }
            for (Map.Entry<String, JobSpec> aim : startAims.entrySet()) {
                if (seeks(aim.getValue(), machine)) {
                    all.merge(aim.getKey(), machine.type.cpus(), Double::sum);
                }
            }
            for (Booking booking : machine.bookings.values()) {
                taken.merge(booking.job.spec.jobClass(), booking.job.spec.cpus(), Double::sum);
            }
        }
        soughtLoad.keySet().retainAll(startAims.keySet());
        for (String name : startAims.keySet()) {
            double now = Math.min(1, taken.getOrDefault(name, 0.0) / Math.max(1, all.getOrDefault(name, 0.0)));
            double before = soughtLoad.getOrDefault(name, 0.0);
            soughtLoad.put(name, before + (now - before) * STEP_MICROS / LOAD_MEMORY_MICROS);
        }
    }

    /**
     * By rank, the part of such a machine that more important classes are likely to take from it. Classes of its own rank
     * and below displace nothing, so that what they take is part of the work that is planned for.
     */
    private double[] takenShares(Machine machine) {
        double[] shares = new double[JobSpec.Rank.values().length];
        for (Map.Entry<String, JobSpec> aim : startAims.entrySet()) {
            if (seeks(aim.getValue(), machine)) {
                for (int rank = aim.getValue().rank().ordinal() + 1; rank < shares.length; rank++) {
                    shares[rank] = Math.min(1, shares[rank] + soughtLoad.getOrDefault(aim.getKey(), 0.0));
                }
            }
        }
        return shares;
    }

    /** What the machines' time was spent on in this term. */
    public Spending spending() {
        return spending;
    }

    private static boolean seeks(JobSpec shape, Machine machine) {
        return machine.type.fits(shape) && (shape.spot() || !machine.spot);
    }

    /** The highest rank of classes with an aim for their start that could go to such a machine, or null. */
    public JobSpec.Rank soughtBy(Machine machine) {
        JobSpec.Rank highest = null;
        for (JobSpec shape : startAims.values()) {
            if (seeks(shape, machine) && (highest == null || shape.rank().compareTo(highest) < 0)) {
                highest = shape.rank();
            }
        }
        return highest;
    }

    @Override
    protected int rest() {
        return 4;
    }

    @Override
    protected long step() {
        long nowMicros = clock.nowMicros();
        if (types.known().isEmpty() || !office.holds()) {
            // A deposed leader that is cut off hears no worker: it must not return its successor's machines.
            return STEP_MICROS / 2;
        }
        for (Machine machine : cluster.machines.values()) {
            if (machine.type == null && machine.heardMicros >= 0) {
                nextListMicros = Math.min(nextListMicros, nowMicros);
            }
        }
        // A class that has not been seen for long gets no machine kept warm for it.
        startAims.keySet().removeIf(name -> nowMicros - lastSeenMicros.get(name) > tuning.warmHoldMicros());
        if (nowMicros >= nextListMicros && !listInFlight && calls.tryTake(1)) {
            list(nowMicros);
        }
        while (!again.isEmpty() && calls.tryTake(1)) {
            again.poll().run();
        }
        countSoughtLoad();
        spending.count(cluster.machines.values(), nowMicros);
        release(nowMicros);
        rent(nowMicros);
        return STEP_MICROS;
    }

    private void list(long nowMicros) {
        listInFlight = true;
        nextListMicros = nowMicros + LIST_MICROS;
        cloud.list(listed -> {
            listInFlight = false;
            if (listed == null || !isRunning()) {
                return;
            }
            hasListed = true;
            for (Cloud.Listed item : listed) {
                adopt(item, clock.nowMicros());
            }
            wakeIn(0);
        });
    }

    private void adopt(Cloud.Listed item, long nowMicros) {
        Machine machine = cluster.machines.get(item.name());
        if (machine == null) {
            if (releasedNames.contains(item.name())) {
                return;
            }
            machine = cluster.machine(item.name(), nowMicros - item.ageMicros());
        }
        machine.type = types.byName(item.type());
        machine.zone = item.zone();
        machine.spot = item.spot();
        machine.sinceMicros = Math.min(machine.sinceMicros, nowMicros - item.ageMicros());
        machine.failed |= item.failed();
        machine.starting = item.starting();
    }

    private void rent(long nowMicros) {
        if (rentalsInFlight > 0 || isTakingOver(nowMicros)) {
            return;
        }
        refusedUntil.values().removeIf(until -> until <= nowMicros);
        List<FleetPlanner.Host> hosts = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            boolean booting = !machine.isUp() && !overdue(machine, nowMicros);
            if (machine.type != null && !machine.releasing && (booting || machine.usable())) {
                hosts.add(host(machine, booting, nowMicros));
            }
        }
        List<FleetPlanner.Need> wanted = new ArrayList<>(needs);
        for (JobSpec shape : startAims.values()) {
            int missing = tuning.warmMachines() - openHosts(shape, nowMicros);
            if (missing > 0
                    && wanted.stream().noneMatch(need -> need.job().jobClass().equals(shape.jobClass()))) {
                wanted.add(new FleetPlanner.Need(shape, missing, shape.estimateMicros(), nowMicros));
            }
        }
        List<FleetPlanner.Rental> plan =
                FleetPlanner.plan(wanted, hosts, types.known(), refusedUntil.keySet(), MOST_NEW_AT_ONCE, nowMicros);
        for (FleetPlanner.Rental rental : plan) {
            if (calls.tryTake(1)) {
                // The token is this term's alone and the counter never repeats: no name is used twice.
                rent("w-" + token + "-" + ++requests, rental.offer(), Math.min(MOST_PER_REQUEST, rental.count()));
            }
        }
    }

    /**
     * A new leader can't count on machines before they have reported to it. Until most have, it would rent for all waiting
     * work once more, beside the machines that run it already.
     */
    private boolean isTakingOver(long nowMicros) {
        if (nowMicros - startedMicros > takeOverMicros()) {
            return false;
        }
        int heard = 0;
        int unheard = 0;
        for (Machine machine : cluster.machines.values()) {
            heard += machine.isUp() ? 1 : 0;
            unheard += machine.isUp() || isBooting(machine, nowMicros) ? 0 : 1;
        }
        return !hasListed || unheard > TAKE_OVER_UNHEARD_SHARE * (heard + unheard);
    }

    /** After an election, the time in which workers find the new leader and report under its token. */
    private long takeOverMicros() {
        return TAKE_OVER_REPORTS * settings.workers().reportMicros() + TAKE_OVER_RECONNECT_MICROS;
    }

    private static boolean isBooting(Machine machine, long nowMicros) {
        return machine.starting && machine.bookings.isEmpty() && !overdue(machine, nowMicros);
    }

    private FleetPlanner.Host host(Machine machine, boolean booting, long nowMicros) {
        long availableAtMicros =
                booting ? Math.max(nowMicros + 5_000_000, machine.sinceMicros + machine.type.bootMicros()) : nowMicros;
        double busyCpuMicros = 0;
        double heldCpus = 0;
        for (Booking booking : machine.bookings.values()) {
            if (booking.job.spec.service()) {
                heldCpus += booking.job.spec.cpus();
            } else {
                busyCpuMicros += cluster.runTimes.leftMicros(booking, nowMicros) * booking.job.spec.cpus();
            }
        }
        return new FleetPlanner.Host(
                machine.type,
                machine.zone,
                machine.spot,
                booting,
                availableAtMicros,
                busyCpuMicros,
                heldCpus,
                takenShares(machine));
    }

    private void rent(String request, Offer offer, int count) {
        rentalsInFlight++;
        cloud.rent(request, offer.type(), offer.zone(), offer.spot(), count, rental -> {
            rentalsInFlight--;
            if (!isRunning()) {
                return;
            }
            long nowMicros = clock.nowMicros();
            switch (rental.outcome()) {
                case OK -> {
                    for (String name : rental.machines()) {
                        Machine machine = cluster.machine(name, nowMicros);
                        machine.type = types.byName(offer.type());
                        machine.zone = offer.zone();
                        machine.spot = offer.spot();
                        machine.starting = true;
                    }
                    LOG.info(
                            "rented {} of {} {} in {}{}",
                            rental.machines().size(),
                            count,
                            offer.type(),
                            offer.zone(),
                            offer.spot() ? ", spot" : "");
                    if (rental.machines().size() < count) {
                        refusedUntil.put(offer, nowMicros + REFUSED_MICROS);
                    }
                }
                case NO_CAPACITY -> refusedUntil.put(offer, nowMicros + REFUSED_MICROS);
                // It may have gone through: the same name again rents nothing twice.
                case UNKNOWN -> again.add(() -> rent(request, offer, count));
                case TROUBLE -> refusedUntil.put(offer, nowMicros + 2_000_000);
            }
            wakeIn(50_000);
        });
    }

    /** Later than nearly all machines come up: another is rented in its place if the work still waits. */
    private static boolean overdue(Machine machine, long nowMicros) {
        return machine.type != null && nowMicros - machine.sinceMicros > machine.type.bootMicros() * 8 / 5 + 5_000_000;
    }

    /** Later than is worth paying for. */
    private static boolean hopeless(Machine machine, long nowMicros) {
        return machine.type != null
                && nowMicros - machine.sinceMicros
                        > Math.max(LEAST_CHARGED_MICROS, machine.type.bootMicros() * 5 / 2 + 10_000_000);
    }

    /** Machines, up or on their way, that could take a job of this shape without waiting for its equals. */
    private int openHosts(JobSpec shape, long nowMicros) {
        int open = 0;
        for (Machine machine : cluster.machines.values()) {
            if (canHost(machine, shape, nowMicros)) {
                open++;
            }
        }
        return open;
    }

    private boolean canHost(Machine machine, JobSpec shape, long nowMicros) {
        if (machine.type == null
                || machine.releasing
                || machine.released
                || machine.failed
                || machine.takenBackAtMicros != Long.MAX_VALUE
                || !machine.isUp() && overdue(machine, nowMicros)
                || !machine.type.fits(shape)
                || machine.spot && !shape.spot()) {
            return false;
        }
        double cpus = machine.type.cpus();
        for (Booking booking : machine.bookings.values()) {
            if (booking.job.spec.rank().compareTo(shape.rank()) <= 0) {
                cpus -= booking.job.spec.cpus();
            }
        }
        return cpus + MachineType.EPSILON >= shape.cpus();
    }

    private void release(long nowMicros) {
        if (releaseInFlight) {
            return;
        }
        List<String> names = new ArrayList<>();
        hearsMost = hearsMost(nowMicros);
        silentZones = silentZones(nowMicros);
        Map<String, Integer> spare = new HashMap<>();
        startAims.forEach((name, shape) -> spare.put(name, openHosts(shape, nowMicros) - tuning.warmMachines()));
        List<Machine> dearestFirst = new ArrayList<>(cluster.machines.values());
        dearestFirst.sort(
                Comparator.comparingDouble(MachinePool::pricePerCpu).reversed().thenComparing(machine -> machine.name));
        for (Machine machine : dearestFirst) {
            String why = whyRelease(machine, nowMicros);
            if (why == null && mayGo(machine, spare, nowMicros)) {
                why = "idle";
            }
            if (why != null && names.size() < 100) {
                if (!machine.releasing) {
                    LOG.info(
                            "returns {} ({}): {}", machine.name, machine.type == null ? "?" : machine.type.name(), why);
                }
                names.add(machine.name);
            }
        }
        if (names.isEmpty() || !calls.tryTake(1)) {
            return;
        }
        releaseInFlight = true;
        for (String name : names) {
            Machine machine = cluster.machines.get(name);
            machine.releasing = true;
            machine.released = true;
        }
        cloud.release(names, confirmed -> {
            releaseInFlight = false;
            if (!isRunning() || !confirmed) {
                return;
            }
            for (String name : names) {
                Machine machine = cluster.machines.get(name);
                if (machine != null) {
                    releasedNames.add(name);
                    cluster.gone(machine, clock.nowMicros());
                }
            }
            office.machinesGone();
            wakeIn(0);
        });
    }

    private static double pricePerCpu(Machine machine) {
        return machine.type == null ? 0 : machine.type.price(machine.spot) / machine.type.cpus();
    }

    private String whyRelease(Machine machine, long nowMicros) {
        if (machine.releasing) {
            return "asked before";
        }
        if (machine.failed) {
            return "failed";
        }
        if (machine.jobsFailed.size() >= JOBS_TO_BLAME_MACHINE && machine.donesSinceError == 0) {
            return "faulty";
        }
        if (!machine.isUp()) {
            boolean booked = !machine.bookings.isEmpty() || machine.type == null;
            long waitedMicros = nowMicros - startedMicros;
            if (booked) {
                // Known only from an earlier leader's records, and not heard of since.
                return waitedMicros > patienceWithInherited(machine) ? "silent" : null;
            }
            return hopeless(machine, nowMicros)
                            && waitedMicros > settings.workers().leaseMicros()
                    ? "never came up"
                    : null;
        }
        long silentMicros = nowMicros - machine.heardMicros;
        if (machine.takenBackAtMicros != Long.MAX_VALUE) {
            // Announced and come to pass: its tasks need not hold their places for as long as in doubt.
            boolean due = nowMicros > machine.takenBackAtMicros + TAKEN_MARGIN_MICROS;
            if (due && silentMicros > 2 * settings.workers().reportMicros()) {
                return "taken back";
            }
            if (machine.bookings.isEmpty() && machine.strangers.isEmpty()) {
                return "to be taken back, and empty";
            }
        }
        if (hearsMost && machine.isDeafFor(settings.workers().leaseMicros(), nowMicros)) {
            return "its reports arrive, answers don't reach it";
        }
        return silentMicros > patienceMicros(machine) ? "silent" : null;
    }

    /**
     * How long a machine may be silent. A spot machine was most likely taken, and one that died with replicas takes their
     * time as long as it is waited for. But one that is cut off goes on working until its lease ends, and when a whole zone
     * falls silent, so are its machines: if the cut is short, nothing is lost, and else no more than with an early return.
     */
    private double patienceMicros(Machine machine) {
        boolean mayBeDead = machine.spot || holdsReplicas(machine);
        double share = mayBeDead && !silentZones.contains(machine.zone) ? SPOT_PATIENCE : 1;
        return (hearsMost ? 1 : 2) * share * silenceMicros();
    }

    /** Zones of whose ordinary machines most are silent: these don't die together. */
    private Set<String> silentZones(long nowMicros) {
        Map<String, Integer> heardLessSilent = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUp() && !machine.spot && !machine.releasing) {
                boolean silent = nowMicros - machine.heardMicros > ZONE_SILENCE * silenceMicros();
                heardLessSilent.merge(String.valueOf(machine.zone), silent ? -1 : 1, Integer::sum);
            }
        }
        heardLessSilent.values().removeIf(difference -> difference >= 0);
        return heardLessSilent.keySet();
    }

    /**
     * How long after the election a machine of the earlier leader may be silent. One that holds replicas is given the time
     * in which the others found the new leader: its lease will end unheard, and its return lets them run elsewhere.
     */
    private long patienceWithInherited(Machine machine) {
        long leaseMicros = settings.workers().leaseMicros();
        if (holdsReplicas(machine) && hearsMostInherited()) {
            return Math.max(takeOverMicros(), (long) (leaseMicros * SPOT_PATIENCE));
        }
        return leaseMicros + INHERITED_MARGIN_MICROS;
    }

    private boolean hearsMostInherited() {
        int heard = 0;
        int booked = 0;
        for (Machine machine : cluster.machines.values()) {
            if (!machine.bookings.isEmpty()) {
                booked++;
                heard += machine.isUp() ? 1 : 0;
            }
        }
        return heard * 2 >= booked;
    }

    private static boolean holdsReplicas(Machine machine) {
        return machine.bookings.values().stream().anyMatch(booking -> booking.job.spec.service());
    }

    /** When most machines fall silent or deaf together, the fault is on this side: their tasks may well be running. */
    private boolean hearsMost(long nowMicros) {
        int up = 0;
        int heard = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUp() && !machine.releasing) {
                up++;
                heard += nowMicros - machine.heardMicros <= silenceMicros() && !machine.isDeaf() ? 1 : 0;
            }
        }
        return heard * 2 >= up;
    }

    private long silenceMicros() {
        return settings.workers().leaseMicros();
    }

    /** An idle machine stays about as long as it would take to have it back, a cheap one longer. */
    private long holdMicros(Machine machine) {
        return machine.spot ? tuning.idleHoldMicros() : tuning.idleHoldMicros() / 3;
    }

    private boolean mayGo(Machine machine, Map<String, Integer> spare, long nowMicros) {
        if (!machine.isUp()
                || held.contains(machine.name)
                || !machine.bookings.isEmpty()
                || !machine.strangers.isEmpty()
                || nowMicros - machine.idleSinceMicros < holdMicros(machine)
                || nowMicros - machine.sinceMicros < LEAST_CHARGED_MICROS) {
            return false;
        }
        for (Map.Entry<String, JobSpec> aim : startAims.entrySet()) {
            if (canHost(machine, aim.getValue(), nowMicros)) {
                if (spare.get(aim.getKey()) <= 0) {
                    return false;
                }
                spare.merge(aim.getKey(), -1, Integer::sum);
            }
        }
        return true;
    }
}

package rev;

import java.util.HashMap;
import java.util.Map;

/** A machine with a gang of as many tasks as a job may have is taken back: the controllers stop answering. */
final class CaseHugeGang extends CaseBase {
    private static final String GANG = "req-000412";
    private static final String ORDINARY = "req-000377";
    private static final double GANG_CPUS = 30;
    private static final double ORDINARY_SECONDS = 80;
    private static final long SILENCE_MILLIS = 30_000;
    private static final long END_MILLIS = 108_000;

    private final Map<String, Long> lastAnswer = new HashMap<>();
    private final Map<String, Long> longestSilence = new HashMap<>();

    private CaseHugeGang(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new CaseHugeGang(args[0]));
    }

    @Override
    int run() throws Exception {
        World world = new World(Site.TABUA, record, false, 0);
        world.startAll();
        Users users = new Users(world);
        if (!users.ready(30_000)) {
            return 2;
        }
        Map<String, Object> ordinary =
                World.array(ORDINARY, "reminder-array", "front-of-house", 16, 2.0, 7.3, ORDINARY_SECONDS);
        ordinary.put("yard", "nadi-west");
        ordinary.put("loaners", false);
        if (!submit(world, users, ordinary, ORDINARY_SECONDS)) {
            return 2;
        }
        long latest = world.record().millis() + 15_000;
        while (world.startedTasks(ORDINARY) < 16 && world.record().millis() < latest) {
            StateService.pause(100);
        }
        if (world.startedTasks(ORDINARY) < 16) {
            record.line("the ordinary job does not run");
            return 2;
        }
        // The same CPUs in both runs; only the number of tasks differs.
        int beads = trouble ? 100_000 : 100;
        Map<String, Object> gang =
                World.array(GANG, "seatmap-gang", "branch-ops", beads, GANG_CPUS / beads, 60.0 / beads, 20);
        gang.put("shape", "ensemble");
        gang.put("rank", "urgent");
        gang.put("together", true);
        gang.put("yard", "suva-east");
        if (!submit(world, users, gang, 20)) {
            return 2;
        }
        for (String name : world.names()) {
            lastAnswer.put(name, world.record().millis());
            longestSilence.put(name, 0L);
            Http.daemon("ask " + name, () -> ask(world, name));
        }
        latest = world.record().millis() + 20_000;
        Cloud.Machine machine = null;
        while (machine == null && world.record().millis() < latest) {
            machine = world.machineOfJob(GANG);
            StateService.pause(20);
        }
        if (machine == null) {
            record.line("the gang is not started");
            return 2;
        }
        record.line("the cloud takes %s back, where the gang is being started", machine.name);
        world.cloud.take(machine);
        String heat = users.await(ORDINARY, END_MILLIS);
        long silence = 0;
        for (String name : world.names()) {
            long now = silenceOf(name, world.record().millis());
            record.line("%s left every request without an answer for up to %d ms", name, now);
            silence = Math.max(silence, now);
        }
        record.line("the ordinary job is %s; of 16 tasks %d are done; the gang is %s", heat,
                world.doneTasks(ORDINARY), world.doneTasks(GANG) == beads ? "done" : "not done");
        world.close();
        return silence >= SILENCE_MILLIS || !heat.equals("done") ? 1 : 0;
    }

    /** Asks a controller for the state of a job once a second, on new connections, as users do. */
    private void ask(World world, String name) {
        while (true) {
            Http.Response answer = Http.call(world.api(name), "GET", "/v1/jobs/" + ORDINARY, null, 2_000);
            long now = world.record().millis();
            synchronized (lastAnswer) {
                if (answer.status() > 0) {
                    longestSilence.merge(name, now - lastAnswer.get(name), Math::max);
                    if (now - lastAnswer.get(name) > 3_000) {
                        record.line("%s answers again after %d ms: %d", name, now - lastAnswer.get(name),
                                answer.status());
                    }
                    lastAnswer.put(name, now);
                }
            }
            StateService.pause(1_000);
        }
    }

    private long silenceOf(String name, long now) {
        synchronized (lastAnswer) {
            return Math.max(longestSilence.get(name), now - lastAnswer.get(name));
        }
    }

    private boolean submit(World world, Users users, Map<String, Object> job, double seconds) {
        world.upload(job, seconds);
        record.line("submission: %s", Json.write(job));
        int status = users.submit(job);
        return status == 200 || status == 201;
    }
}

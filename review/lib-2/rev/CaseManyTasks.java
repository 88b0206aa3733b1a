package rev;

import java.util.Map;

/** An array of small tasks: a machine gets more of them than its report can list. */
final class CaseManyTasks extends CaseBase {
    private static final String ID = "req-000412";
    private static final String ORDINARY = "req-000377";
    private static final double TOTAL_CPUS = 20;
    private static final double RUN_SECONDS = 20;
    private static final double ORDINARY_SECONDS = 15;
    private static final long END_MILLIS = 105_000;

    private CaseManyTasks(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new CaseManyTasks(args[0]));
    }

    @Override
    int run() throws Exception {
        World world = new World(Site.TABUA, record, false, 0);
        world.startAll();
        Users users = new Users(world);
        if (!users.ready(30_000)) {
            return 2;
        }
        // The same work in both runs: 20 CPUs for 20 s. Only the size of a task differs.
        double cpus = trouble ? 0.005 : 0.2;
        int beads = (int) Math.round(TOTAL_CPUS / cpus);
        Map<String, Object> job =
                World.array(ID, "reminder-array", "front-of-house", beads, cpus, cpus * 3, RUN_SECONDS);
        world.upload(job, RUN_SECONDS);
        record.line("submission: %s", Json.write(job));
        int status = users.submit(job);
        if (status != 201 && status != 200) {
            return 2;
        }
        // An ordinary job of another team, which fits beside the array on the same machine.
        Map<String, Object> ordinary =
                World.array(ORDINARY, "reminder-array", "branch-ops", 3, 2.0, 7.3, ORDINARY_SECONDS);
        world.upload(ordinary, ORDINARY_SECONDS);
        status = users.submit(ordinary);
        if (status != 201 && status != 200) {
            return 2;
        }
        String ordinaryHeat = users.await(ORDINARY, END_MILLIS - 10_000);
        String heat = users.await(ID, END_MILLIS);
        record.line("the ordinary job is %s; of 3 tasks %d are done; %d starts", ordinaryHeat,
                world.doneTasks(ORDINARY), world.startedTasks(ORDINARY));
        record.line("the job is %s; of %d tasks %d are done; %d starts; %d reports of up to %d bytes were refused, "
                        + "%d leases ended with tasks on the machine",
                heat, beads, world.doneTasks(ID), world.startedTasks(ID), world.refusedReports(),
                world.largestReport(), world.endedLeases());
        world.close();
        return heat.equals("done") && ordinaryHeat.equals("done") ? 0 : 1;
    }
}

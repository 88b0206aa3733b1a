package rev;

import java.util.Map;

/** One task fails once on a machine that stays up. */
final class CaseOneError extends CaseBase {
    private static final String SMALL = "req-000377";
    private static final String OTHER = "req-000412";
    private static final double RUN_SECONDS = 5;
    private static final double OTHER_SECONDS = 100;
    private static final long END_MILLIS = 106_000;

    private CaseOneError(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new CaseOneError(args[0]));
    }

    @Override
    int run() throws Exception {
        World world = new World(Site.TABUA, record, true, 0);
        world.startAll();
        Users users = new Users(world);
        if (!users.ready(30_000)) {
            return 2;
        }
        // The other job keeps its machine up; the small one has room beside it.
        Map<String, Object> other =
                World.array(OTHER, "reminder-array", "branch-ops", 10, 2.0, 7.3, OTHER_SECONDS);
        if (!submit(world, users, other, OTHER_SECONDS)) {
            return 2;
        }
        long end = world.record().millis() + 15_000;
        while (world.startedTasks(OTHER) < 10 && world.record().millis() < end) {
            StateService.pause(100);
        }
        if (world.startedTasks(OTHER) < 10) {
            return 2;
        }
        Map<String, Object> small =
                World.array(SMALL, "reminder-array", "front-of-house", 3, 2.0, 7.3, RUN_SECONDS);
        if (trouble) {
            world.failsOnce(SMALL + "/1");
        }
        if (!submit(world, users, small, RUN_SECONDS)) {
            return 2;
        }
        String heat = users.await(SMALL, END_MILLIS);
        record.line("the small job is %s; of 3 tasks %d are done, with %d starts", heat, world.doneTasks(SMALL),
                world.startedTasks(SMALL));
        world.close();
        return heat.equals("done") ? 0 : 1;
    }

    private boolean submit(World world, Users users, Map<String, Object> job, double seconds) {
        world.upload(job, seconds);
        record.line("submission: %s", Json.write(job));
        int status = users.submit(job);
        return status == 200 || status == 201;
    }
}

package rev;

import java.util.Map;

/** A spot machine is taken back; the few tasks that ran there may run in one zone only, where no other machine is up. */
final class CaseTakenBack extends CaseBase {
    private static final String SMALL = "req-000377";
    private static final String OTHER = "req-000412";
    private static final String ZONE = "suva-east";
    private static final double RUN_SECONDS = 25;
    private static final double OTHER_SECONDS = 100;
    private static final long END_MILLIS = 108_000;

    private CaseTakenBack(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new CaseTakenBack(args[0]));
    }

    @Override
    int run() throws Exception {
        World world = new World(Site.TABUA, record, true, 0);
        world.startAll();
        Users users = new Users(world);
        if (!users.ready(30_000)) {
            return 2;
        }
        Map<String, Object> small =
                World.array(SMALL, "reminder-array", "front-of-house", 3, 2.0, 7.3, RUN_SECONDS);
        small.put("yard", ZONE);
        if (!submit(world, users, small, RUN_SECONDS)) {
            return 2;
        }
        StateService.pause(3_000);
        // Another team's job, whose machine is up all the time, in another zone.
        Map<String, Object> other =
                World.array(OTHER, "reminder-array", "branch-ops", 16, 2.0, 7.3, OTHER_SECONDS);
        other.put("yard", "nadi-west");
        other.put("loaners", false);
        if (!submit(world, users, other, OTHER_SECONDS)) {
            return 2;
        }
        StateService.pause(9_000);
        if (world.startedTasks(SMALL) < 3 || world.startedTasks(OTHER) < 16) {
            record.line("the jobs do not run yet");
            return 2;
        }
        Cloud.Machine machine = world.machineOf(SMALL + "/0");
        if (machine == null || !machine.spot) {
            record.line("the small job does not run on a spot machine");
            return 2;
        }
        if (trouble) {
            record.line("the cloud takes %s back", machine.name);
            world.cloud.take(machine);
        }
        String heat = users.await(SMALL, END_MILLIS);
        record.line("the small job is %s; of 3 tasks %d are done", heat, world.doneTasks(SMALL));
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

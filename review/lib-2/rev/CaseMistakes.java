package rev;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Jobs that were submitted with a mistake fail on every machine, beside a sound job. */
final class CaseMistakes extends CaseBase {
    private static final String SOUND = "req-000100";
    private static final int SOUND_TASKS = 10;
    private static final double SOUND_SECONDS = 60;
    private static final int BAD_JOBS = 12;
    private static final int BAD_TASKS = 19;
    private static final long BAD_EVERY_MILLIS = 4_000;
    private static final long END_MILLIS = 110_000;

    private CaseMistakes(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new CaseMistakes(args[0]));
    }

    @Override
    int run() throws Exception {
        World world = new World(Site.TABUA, record, true, 0);
        world.startAll();
        Users users = new Users(world);
        if (!users.ready(30_000)) {
            return 2;
        }
        Map<String, Object> sound = World.array(SOUND, "reminder-array", "front-of-house", SOUND_TASKS, 2.0, 7.3, SOUND_SECONDS);
        world.upload(sound, SOUND_SECONDS);
        int status = users.submit(sound);
        if (status != 201 && status != 200) {
            return 2;
        }
        long end = world.record().millis() + 15_000;
        while (world.startedTasks(SOUND) < SOUND_TASKS && world.record().millis() < end) {
            StateService.pause(100);
        }
        if (world.startedTasks(SOUND) < SOUND_TASKS) {
            return 2;
        }
        for (int i = 1; i <= (trouble ? BAD_JOBS : 0); i++) {
            String id = String.format("req-%06d", i);
            Map<String, Object> bad = World.array(id, "reminder-array", "branch-ops", BAD_TASKS, 2.0, 7.3, 25);
            bad.put("blank", String.format("img-%02d", i));
            world.fails(id);
            world.upload(bad, 1.5);
            users.submit(bad);
            StateService.pause(BAD_EVERY_MILLIS);
        }
        String heat = users.await(SOUND, END_MILLIS);
        record.line("the sound job is %s; of %d tasks %d are done; %d starts", heat, SOUND_TASKS, world.doneTasks(SOUND),
                world.startedTasks(SOUND));
        world.close();
        return heat.equals("done") ? 0 : 1;
    }
}

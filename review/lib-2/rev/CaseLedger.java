package rev;

import java.util.Map;

/** The revision of the state service passes 2^63; PROTOCOL allows integers smaller than 2^64. */
final class CaseLedger extends CaseBase {
    private static final int JOBS = 8;
    private static final long END_MILLIS = 100_000;

    private CaseLedger(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new CaseLedger(args[0]));
    }

    @Override
    int run() throws Exception {
        // 25 revisions below 2^63: the first jobs are accepted before it is passed.
        World world = new World(Site.TABUA, record, true, trouble ? Long.MAX_VALUE - 25 : 1_000);
        world.startAll();
        Users users = new Users(world);
        if (!users.ready(30_000)) {
            return 2;
        }
        for (int i = 1; i <= JOBS; i++) {
            Map<String, Object> job =
                    World.array(String.format("req-%06d", i), "reminder-array", "branch-ops", 10, 2.0, 7.3, 4);
            world.upload(job, 4);
            int status = users.submit(job);
            if (status != 201 && status != 200 && i <= 2) {
                return 2;
            }
            record.line("the revision is %s", Long.toUnsignedString(world.state.ledger()));
            StateService.pause(2_500);
        }
        int open = 0;
        for (int i = 1; i <= JOBS; i++) {
            String id = String.format("req-%06d", i);
            String heat = users.await(id, END_MILLIS);
            if (world.accepted(id) && !heat.equals("done")) {
                record.line("%s was accepted and is %s", id, heat);
                open++;
            }
        }
        record.line("%d accepted jobs did not end; the revision is %s", open,
                Long.toUnsignedString(world.state.ledger()));
        world.close();
        return open == 0 ? 0 : 1;
    }
}

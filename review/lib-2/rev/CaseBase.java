package rev;

import java.nio.file.Path;

/** What the cases share: the record, the switch TROUBLE, and the verdict as the exit code. */
abstract class CaseBase {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record;

    CaseBase(String folder) throws Exception {
        record = new Record(Path.of(folder, "record.txt"));
        record.line(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    }

    /** Runs the case; returns 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    abstract int run() throws Exception;

    static void main(CaseBase test) {
        int code;
        try {
            code = test.run();
        } catch (Throwable failed) {
            test.record.line("could not run: %s", failed);
            failed.printStackTrace();
            code = 2;
        }
        test.record.line("exit code %d", code);
        System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "could not run");
        System.exit(code);
    }
}

package org.weldcourse.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.InvalidSettingsException.Problem;
import org.weldcourse.settings.Settings.ServiceLevelObjective;
import org.weldcourse.settings.Settings.ServiceLevelObjective.Kind;

/** Tests of reading {@link Settings} and {@link OperatorSettings} from files. */
class SettingsTest {
    private static final String FILE = String.join(
            "\n",
            "host_name = \"n-1\"",
            "site = \"a\"",
            "api_addr = \"10.0.0.1:80\"",
            "back = \"10.0.0.1:81\"",
            "unknown_field = [1, 2]",
            "[[known]]",
            "host_name = \"n-2\"",
            "site = \"b\"",
            "address = \"10.0.0.2:81\"",
            "[endpoints]",
            "cloud = \"10.1.0.1:1\"",
            "state = \"10.1.0.2:2\"",
            "[deployment]",
            "zones = [\"a\", \"b\"]",
            "[[deployment.teams]]",
            "name = \"t\"",
            "cpus = 4.0",
            "cpus_max = 0.0",
            "gpus = 0.0",
            "gpus_max = 2.0",
            "[[deployment.objectives]]",
            "kind = \"deadline\"",
            "class = \"c\"",
            "share = 0.9",
            "times = 1.5",
            "[deployment.workers]",
            "report_s = 1.5",
            "lease_s = 10",
            "gang_wait_s = 40.0",
            "gang_peer_s = 4.0",
            "cancel_s = 35.0",
            "[deployment.state]",
            "rps = 100.0",
            "write_rps = 50.0",
            "value_kb = 4.0",
            "txn_ops = 8",
            "[deployment.cloud]",
            "rps = 3.0",
            "list_lag_s = 8.0",
            "[deployment.quota]",
            "max_sockets = 500");

    @Test
    void readsKnownFieldsAndIgnoresUnknownFields() throws Exception {
        Settings settings = SettingsFile.parse(new StringReader(FILE));
        assertEquals(1_500_000, settings.workers().heartbeatIntervalMicros());
        assertEquals(10_000_000, settings.workers().leaseMicros());
        assertEquals(4096, settings.storeLimits().maxValueBytes());
        assertEquals("n-2", settings.peers().get(0).name());
        assertTrue(Double.isInfinite(settings.team("t").cpusMax()));
        assertEquals(2.0, settings.team("t").gpusMax());
    }

    @Test
    void staysWithinCurrentAndUpcomingStoreLimits() throws Exception {
        Settings.StoreLimits state = SettingsFile.parse(new StringReader(FILE.replace(
                        "txn_ops = 8",
                        "txn_ops = 8\n[deployment.state.next]\nwrite_rps = 60.0\nvalue_kb = 2.0\ntxn_ops = 4")))
                .storeLimits();
        assertEquals(2048, state.safeValueBytes());
        assertEquals(4, state.safeTransactionOps());
        assertEquals(50.0, state.safeWritesPerSecond());
        assertEquals(
                4096, SettingsFile.parse(new StringReader(FILE)).storeLimits().safeValueBytes());
    }

    @Test
    void errorMessageNamesMissingOrInvalidField() {
        for (String[] change : new String[][] {
            {"report_s = 1.5", "", "report_s"},
            {"report_s = 1.5", "report_s = 0", "report_s"},
            {"api_addr = \"10.0.0.1:80\"", "api_addr = \"here\"", "api_addr"},
            {"[endpoints]", "[elsewhere]", "endpoints"},
            {"txn_ops = 8", "txn_ops = \"x\"", "txn_ops"},
            {"txn_ops = 8", "txn_ops = 0.5", "txn_ops"},
            {"txn_ops = 8", "txn_ops = 8\nnext = 3", "next"},
            {
                "txn_ops = 8",
                "txn_ops = 8\n[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4",
                "state.next: missing or invalid field: write_rps"
            },
            {
                "txn_ops = 8",
                "txn_ops = 8\n[deployment.state.next]\nwrite_rps = 9\nvalue_kb = 0\ntxn_ops = 4",
                "state.next: must be above 0: value_kb"
            },
            {"max_sockets = 500", "max_sockets = 20", "max_sockets = 20 is too small"},
            {"max_sockets = 500", "max_sockets = 500\nmemory_mb = 64.0", "memory_mb = 64.0 is too small"},
            {"host_name = \"n-1\"", "host_name = ", "TOML"}
        }) {
            InvalidSettingsException invalid = assertThrows(
                    InvalidSettingsException.class,
                    () -> SettingsFile.parse(new StringReader(FILE.replace(change[0], change[1]))));
            assertTrue(invalid.getMessage().contains(change[2]), invalid.getMessage());
            assertEquals(1, invalid.getMessage().lines().count());
        }
    }

    @Test
    void errorHasFieldAndProblem() {
        for (Object[] change : new Object[][] {
            {"report_s = 1.5", "", "report_s", Problem.MISSING_OR_INVALID},
            {"report_s = 1.5", "report_s = 0", "report_s", Problem.OUT_OF_RANGE},
            {"[endpoints]", "[elsewhere]", "endpoints", Problem.MISSING_OR_INVALID},
            {"max_sockets = 500", "max_sockets = 20", "max_sockets", Problem.OUT_OF_RANGE},
            {"txn_ops = 8", "txn_ops = 8\n[deployment.state.next]", "state.next.write_rps", Problem.MISSING_OR_INVALID},
            {"host_name = \"n-1\"", "host_name = ", "", Problem.MALFORMED}
        }) {
            InvalidSettingsException invalid = assertThrows(
                    InvalidSettingsException.class,
                    () -> SettingsFile.parse(new StringReader(FILE.replace((String) change[0], (String) change[1]))));
            assertEquals(change[2], invalid.field());
            assertEquals(change[3], invalid.problem());
        }
    }

    @Test
    void readsObjectivesAndIgnoresUnknownKinds() throws Exception {
        ServiceLevelObjective deadline = new ServiceLevelObjective(Kind.DEADLINE, "c", 0, 0.9, 1.5);
        assertEquals(
                List.of(deadline), SettingsFile.parse(new StringReader(FILE)).objectives());
        String others = "[[deployment.objectives]]\nkind = \"later\"\nclass = \"c\"\n"
                + "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"c\"\nwithin_s = 2.0\n"
                + "[[deployment.objectives]]\nkind = \"finished\"\nclass = \"c\"\nwithin_s = 3.0\n[deployment.workers]";
        assertEquals(
                List.of(
                        deadline,
                        new ServiceLevelObjective(Kind.START, "c", 2_000_000, 0, 1),
                        new ServiceLevelObjective(Kind.COMPLETION, "c", 3_000_000, 0, 1)),
                SettingsFile.parse(new StringReader(FILE.replace("[deployment.workers]", others)))
                        .objectives());
    }

    private static OperatorSettings operatorSettings(String xml) throws InvalidSettingsException {
        return OperatorSettings.parse(new ByteArrayInputStream(xml.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void operatorSettingsOverrideDefaults() throws Exception {
        OperatorSettings operatorSettings =
                operatorSettings("<weldcourse><idle-hold-s>12.5</idle-hold-s></weldcourse>");
        assertEquals(12_500_000, operatorSettings.scaleInDelayMicros());
        assertEquals(OperatorSettings.DEFAULT.leaderLeaseMicros(), operatorSettings.leaderLeaseMicros());
    }

    @Test
    void rejectsInvalidOperatorSettings() {
        for (String xml : new String[] {
            "<other/>",
            "<weldcourse><what>1</what></weldcourse>",
            "<weldcourse>",
            "<weldcourse><warm-machines>many</warm-machines></weldcourse>",
            "<weldcourse><state-lease-s>0</state-lease-s></weldcourse>",
            "<!DOCTYPE weldcourse [<!ENTITY e SYSTEM \"file:///etc/passwd\">]><weldcourse>"
                    + "<idle-hold-s>&e;</idle-hold-s></weldcourse>"
        }) {
            assertThrows(InvalidSettingsException.class, () -> operatorSettings(xml), xml);
        }
    }
}

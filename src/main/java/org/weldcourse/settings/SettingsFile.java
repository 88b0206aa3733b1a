package org.weldcourse.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.weldcourse.settings.InvalidSettingsException.Problem;
import org.weldcourse.settings.Settings.ServiceLevelObjective;

/** Reads the platform's settings file (TOML). Unknown fields are ignored; a missing or invalid field is an error. */
public final class SettingsFile {
    /** The minimum socket quota; a quarter is for outbound calls: watches, lease renewals, peers and user requests. */
    private static final int MIN_SOCKETS = 40;
    /** The minimum memory quota: the maximum heap size of the service plus the overhead of the Java virtual machine. */
    private static final int MIN_MEMORY_MB = 110;

    private SettingsFile() {}

    /** Reads and validates the platform's settings file. */
    public static Settings read(Path file) throws InvalidSettingsException {
        try (Reader in = Files.newBufferedReader(file)) {
            return parse(in);
        } catch (IOException unreadable) {
            throw new InvalidSettingsException(
                    Problem.UNREADABLE, file.toString(), "cannot read " + file + ": " + unreadable.getMessage());
        }
    }

    /** Reads and validates settings in the format of the platform's file. */
    public static Settings parse(Reader in) throws InvalidSettingsException {
        TomlTable root = TomlTable.parse(in);
        TomlTable deployment = root.table("deployment");
        TomlTable workers = deployment.table("workers");
        TomlTable state = deployment.table("state");
        TomlTable cloud = deployment.table("cloud");
        TomlTable endpoints = root.table("endpoints");
        TomlTable quota = deployment.table("quota");
        checkQuota(quota);
        List<Settings.Peer> peers = peers(root);
        List<Settings.Team> teams = teams(deployment);
        List<ServiceLevelObjective> objectives = objectives(deployment);
        return new Settings(
                root.string("host_name"),
                root.string("site"),
                root.address("api_addr"),
                root.address("back"),
                peers,
                endpoints.address("cloud"),
                endpoints.address("state"),
                deployment.strings("zones"),
                teams,
                objectives,
                workers(workers),
                storeLimits(state),
                new Settings.CloudLimits(cloud.positive("rps"), cloud.micros("list_lag_s")),
                (int) quota.positive("max_sockets"));
    }

    /** Rejects quotas with which a controller would start, but would exit or refuse all requests under load. */
    private static void checkQuota(TomlTable quota) throws InvalidSettingsException {
        checkAtLeast(quota, "max_sockets", quota.positive("max_sockets"), MIN_SOCKETS);
        checkAtLeast(quota, "memory_mb", quota.number("memory_mb", MIN_MEMORY_MB), MIN_MEMORY_MB);
    }

    private static void checkAtLeast(TomlTable quota, String name, double number, int min)
            throws InvalidSettingsException {
        if (number < min) {
            throw new InvalidSettingsException(
                    Problem.OUT_OF_RANGE,
                    name,
                    name + " = " + quota.value(name) + " is too small: at least " + min + " is required");
        }
    }

    private static List<Settings.Peer> peers(TomlTable root) throws InvalidSettingsException {
        List<Settings.Peer> peers = new ArrayList<>();
        for (TomlTable peer : root.tables("known")) {
            peers.add(new Settings.Peer(peer.string("host_name"), peer.string("site"), peer.address("address")));
        }
        return List.copyOf(peers);
    }

    private static List<Settings.Team> teams(TomlTable deployment) throws InvalidSettingsException {
        List<Settings.Team> teams = new ArrayList<>();
        for (TomlTable team : deployment.tables("teams")) {
            teams.add(new Settings.Team(
                    team.string("name"),
                    team.number("cpus"),
                    team.number("cpus_max"),
                    team.number("gpus"),
                    team.number("gpus_max")));
        }
        return List.copyOf(teams);
    }

    private static List<ServiceLevelObjective> objectives(TomlTable deployment) throws InvalidSettingsException {
        List<ServiceLevelObjective> objectives = new ArrayList<>();
        for (TomlTable objective : deployment.tables("objectives")) {
            Optional<ServiceLevelObjective.Kind> kind =
                    ServiceLevelObjective.Kind.fromExternalName(objective.string("kind"));
            String jobClass = objective.string("class");
            long withinMicros = objective.microsOrZero("within_s");
            double targetShare = objective.number("share", 0);
            double deadlineFactor = objective.number("times", 1);
            // An objective of a kind unknown to this version is ignored: it affects none of its decisions.
            kind.ifPresent(known -> objectives.add(
                    new ServiceLevelObjective(known, jobClass, withinMicros, targetShare, deadlineFactor)));
        }
        return List.copyOf(objectives);
    }

    private static Settings.Workers workers(TomlTable workers) throws InvalidSettingsException {
        return new Settings.Workers(
                workers.positiveMicros("report_s"),
                workers.positiveMicros("lease_s"),
                workers.positiveMicros("gang_wait_s"),
                workers.positiveMicros("gang_peer_s"),
                workers.positiveMicros("cancel_s"));
    }

    private static Settings.StoreLimits storeLimits(TomlTable state) throws InvalidSettingsException {
        return new Settings.StoreLimits(
                state.positive("rps"),
                state.positive("write_rps"),
                valueBytes(state),
                state.atLeastOne("txn_ops"),
                upcomingStoreLimits(state));
    }

    private static Settings.UpcomingStoreLimits upcomingStoreLimits(TomlTable state) throws InvalidSettingsException {
        if (!state.has("next")) {
            return null;
        }
        TomlTable next = state.table("next");
        try {
            return new Settings.UpcomingStoreLimits(
                    next.positive("write_rps"), valueBytes(next), next.atLeastOne("txn_ops"));
        } catch (InvalidSettingsException invalid) {
            throw invalid.inTable("state.next");
        }
    }

    private static int valueBytes(TomlTable state) throws InvalidSettingsException {
        return (int) (state.positive("value_kb") * 1024);
    }
}

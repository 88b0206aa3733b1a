package org.weldcourse.quota;

import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * Changes a team's limit on record, for operators. The new limit holds from the one conditional write on: it takes back all
 * budgets, so that whatever a controller still decides on the old record is refused.
 */
public final class LimitsEditor {
    /** Budgets change while a limit is set; that alone is no reason to give up. */
    private static final int MOST_TRIES = 20;

    private final Store store;

    /** An editor of the ledger in this state service. */
    public LimitsEditor(Store store) {
        this.store = store;
    }

    /** What to change; null fields stay as they are. Limits of 0 mean none. */
    public record Change(Double cpus, Double cpusMax, Double gpus, Double gpusMax, OverLimit overLimit) {
        TeamLimit applyTo(TeamLimit limit) {
            Amount guarantee = Amount.of(
                    or(cpus, limit.guarantee().cpus()),
                    or(gpus, limit.guarantee().gpus()));
            Amount most = Amount.limit(
                    or(cpusMax, limit.limit().cpuLimit()),
                    or(gpusMax, limit.limit().gpuLimit()));
            return new TeamLimit(
                    limit.team(),
                    guarantee,
                    most,
                    overLimit == null ? limit.overLimit() : overLimit,
                    Map.of(),
                    limit.version());
        }

        private static double or(Double number, double otherwise) {
            return number == null ? otherwise : number;
        }
    }

    /** How a change ended: the limit that is on record now, or why nothing was changed. */
    public record Result(TeamLimit limit, String problem) {
        public boolean isChanged() {
            return problem == null;
        }
    }

    /** Changes one team's limit, or says why not. */
    public void set(Settings.Team team, Change change, Consumer<Result> then) {
        String wrong = wrongNumber(change);
        if (wrong != null) {
            then.accept(new Result(null, wrong));
            return;
        }
        new Attempt(team, change, then).read(MOST_TRIES);
    }

    private static String wrongNumber(Change change) {
        return firstNonNull(
                wrong("cpus", change.cpus()),
                wrong("cpus-max", change.cpusMax()),
                wrong("gpus", change.gpus()),
                wrong("gpus-max", change.gpusMax()));
    }

    private static String wrong(String field, Double number) {
        boolean fine = number == null || number >= 0 && number <= 1e9;
        return fine ? null : field + ": must be a number from 0 to 1000000000, not " + number;
    }

    private static String firstNonNull(String... texts) {
        for (String text : texts) {
            if (text != null) {
                return text;
            }
        }
        return null;
    }

    private static String guaranteeProblem(TeamLimit limit) {
        if (limit.guarantee().cpuMillionths() > limit.limit().cpuMillionths()) {
            return "cpus: the guarantee of " + limit.guarantee().cpus() + " is over the limit of "
                    + limit.limit().cpus();
        }
        if (limit.guarantee().gpuMillionths() > limit.limit().gpuMillionths()) {
            return "gpus: the guarantee of " + limit.guarantee().gpus() + " is over the limit of "
                    + limit.limit().gpus();
        }
        return null;
    }

    private final class Attempt {
        private final Settings.Team team;
        private final String key;
        private final Change change;
        private final Consumer<Result> then;
        /** What stood on record when the change began. */
        private TeamLimit first;

        private boolean unclear;

        Attempt(Settings.Team team, Change change, Consumer<Result> then) {
            this.team = team;
            this.key = TeamLimitCodec.key(team.name());
            this.change = change;
            this.then = then;
        }

        void read(int triesLeft) {
            store.get(key, read -> {
                if (read.outcome() == Outcome.NO) {
                    write(LimitLedger.seed(team), triesLeft);
                } else if (read.outcome() == Outcome.OK) {
                    write(read.entry(), triesLeft);
                } else {
                    fail("the state service does not answer" + (unclear ? "; see whether it was changed" : ""));
                }
            });
        }

        private void write(Store.Entry entry, int triesLeft) {
            try {
                write(TeamLimitCodec.read(entry), triesLeft);
            } catch (TeamLimitCodec.Unreadable unreadable) {
                fail(key + ": " + unreadable.getMessage());
            }
        }

        private void write(TeamLimit limit, int triesLeft) {
            if (first == null) {
                first = limit;
            } else if (!first.hasSameTerms(limit)) {
                settleChanged(limit);
                return;
            }
            TeamLimit next = change.applyTo(limit);
            String problem = guaranteeProblem(next);
            if (problem != null) {
                fail(problem);
                return;
            }
            Transaction txn = new Transaction().guard(key, limit.version()).put(key, TeamLimitCodec.value(next));
            store.commit(txn, commit -> {
                if (commit.outcome() == Outcome.OK) {
                    succeed(next, commit.revision());
                } else if (commit.outcome() == Outcome.BAD || triesLeft == 0) {
                    fail("the state service refuses the change");
                } else {
                    unclear |= commit.outcome() == Outcome.UNKNOWN;
                    read(triesLeft - 1);
                }
            });
        }

        /** Either an earlier try of this change was carried out, or somebody else changed the record. */
        private void settleChanged(TeamLimit limit) {
            if (unclear && change.applyTo(first).hasSameTerms(limit)) {
                succeed(limit, limit.version());
            } else {
                fail("the record was changed meanwhile, to a limit of " + limit.limit());
            }
        }

        private void succeed(TeamLimit limit, long version) {
            then.accept(new Result(
                    new TeamLimit(
                            limit.team(),
                            limit.guarantee(),
                            limit.limit(),
                            limit.overLimit(),
                            limit.budgets(),
                            version),
                    null));
        }

        private void fail(String problem) {
            then.accept(new Result(null, problem));
        }
    }
}

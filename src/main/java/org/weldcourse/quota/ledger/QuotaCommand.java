package org.weldcourse.quota.ledger;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.weldcourse.http.NettyHttpClient;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;
import org.weldcourse.runtime.EventLoopTimers;
import org.weldcourse.settings.InvalidSettingsException;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/**
 * Implements {@code weldcourse limits show|set|set-cohort}, which reads and changes the quota records in the store
 * directly, without a controller.
 */
public final class QuotaCommand {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int IDLE_CONNECTIONS = 1;

    private final Settings settings;

    /** Creates a command for the store at the address in the settings. */
    public QuotaCommand(Settings settings) {
        this.settings = settings;
    }

    /**
     * Prints the quota of every team and cohort, one per line.
     *
     * @throws QuotaLedgerException if the store does not answer
     * @throws TimeoutException if the operation takes too long
     */
    public void show(PrintStream out) throws Exception {
        Store.Listing listing = await((store, callback) -> store.list(QuotaRecordCodec.PREFIX, callback));
        if (listing.outcome() != Outcome.OK) {
            throw new QuotaLedgerException(Reason.STORE_UNAVAILABLE, "the state service does not answer");
        }
        Map<String, String> lines = new TreeMap<>();
        for (Settings.Team team : settings.teams()) {
            lines.put(
                    QuotaRecordCodec.teamKey(team.name()),
                    line(TeamQuota.ofSettings(team)) + "  (settings, not on record)");
        }
        for (Store.Entry entry : listing.entries()) {
            lines.put(entry.key(), line(entry));
        }
        lines.values().forEach(out::println);
    }

    private static String line(Store.Entry entry) {
        try {
            return QuotaRecordCodec.isCohort(entry.key())
                    ? line(QuotaRecordCodec.decodeCohort(entry))
                    : line(QuotaRecordCodec.decodeTeam(entry));
        } catch (UnreadableQuotaRecordException unreadable) {
            return unreadable.key() + "  unreadable, nothing is admitted: " + unreadable.problem();
        }
    }

    private static String line(TeamQuota quota) {
        String cohort = quota.cohort() == null ? "" : "  cohort " + quota.cohort();
        String budgets = quota.budgets().isEmpty()
                ? ""
                : "  budgets " + ResourceAmount.sum(quota.budgets().values()) + " at "
                        + quota.budgets().size();
        return quota.name()
                + "  cpus " + quota.guarantee().cpus() + " to "
                + orNone(quota.limit().cpuLimit())
                + "  gpus " + quota.guarantee().gpus() + " to "
                + orNone(quota.limit().gpuLimit())
                + "  over " + quota.overQuotaPolicy().externalName()
                + cohort
                + "  version " + quota.version()
                + budgets;
    }

    private static String line(CohortQuota quota) {
        return "cohort " + quota.name()
                + "  cpus " + orNone(quota.limit().cpuLimit())
                + "  gpus " + orNone(quota.limit().gpuLimit())
                + "  over " + quota.overQuotaPolicy().externalName()
                + "  version " + quota.version();
    }

    private static String orNone(double limit) {
        return limit == 0 ? "no limit" : String.valueOf(limit);
    }

    /**
     * Changes the quota of one team and prints the new record.
     *
     * @throws InvalidSettingsException if the settings contain no team with this name
     * @throws QuotaLedgerException if the change failed
     * @throws TimeoutException if the operation takes too long
     */
    public void set(String teamName, QuotaChange change, PrintStream out) throws Exception {
        Settings.Team team = settings.team(teamName);
        if (team == null) {
            throw new InvalidSettingsException(
                    InvalidSettingsException.Problem.UNKNOWN, "team", "team: " + teamName + " is not in the settings");
        }
        QuotaEditor.Result<TeamQuota> result =
                await((store, callback) -> new QuotaEditor(store).set(team, change, callback));
        out.println(line(result.orThrow()));
    }

    /**
     * Changes or creates a cohort and prints the new record.
     *
     * @throws QuotaLedgerException if the change failed
     * @throws TimeoutException if the operation takes too long
     */
    public void setCohort(String name, QuotaChange change, PrintStream out) throws Exception {
        QuotaEditor.Result<CohortQuota> result =
                await((store, callback) -> new QuotaEditor(store).setCohort(name, change, callback));
        out.println(line(result.orThrow()));
    }

    /** Runs an asynchronous operation on its own event loop and waits for the result. */
    private <T> T await(BiConsumer<Store, Consumer<T>> operation) throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try {
            Store store = new Store(
                    new NettyHttpClient(loop, () -> IDLE_CONNECTIONS),
                    new EventLoopTimers(loop),
                    settings.storeAddress());
            CompletableFuture<T> result = new CompletableFuture<>();
            loop.execute(() -> operation.accept(store, result::complete));
            return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            loop.parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }
}

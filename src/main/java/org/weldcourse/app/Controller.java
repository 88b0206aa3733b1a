package org.weldcourse.app;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.OperationCounter;
import org.weldcourse.election.LeaderElection;
import org.weldcourse.fleet.CloudClient;
import org.weldcourse.fleet.MachineTypeCatalog;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Server;
import org.weldcourse.jobs.JobApi;
import org.weldcourse.leader.LeaderTerm;
import org.weldcourse.leader.LeaderTermDependencies;
import org.weldcourse.leader.LeaderTermDependencies.RecordedTeamQuotas;
import org.weldcourse.peers.PeerStatus;
import org.weldcourse.peers.Peers;
import org.weldcourse.quota.enforcement.BudgetDivision;
import org.weldcourse.quota.enforcement.BudgetPlanner;
import org.weldcourse.quota.enforcement.IntegerProgramDivision;
import org.weldcourse.quota.ledger.BudgetedSubmissionQuota;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.quota.ledger.SettingsSubmissionQuota;
import org.weldcourse.quota.ledger.SubmissionQuota;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.workers.StartCounts;

/**
 * One controller: creates, connects, starts and stops its components on one event loop. The only state that
 * it holds itself is the leader term, which lasts from this node's election until the node loses leadership.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final Settings settings;
    private final Clock clock;
    private final Timers timers;
    private final Store store;
    private final Peers peers;
    private final LeaderElection election;
    private final MachineTypeCatalog machineTypes;
    private final Optional<QuotaLedger> quotaLedger;
    private final Readiness readiness;
    private final StartCounts startCounts = new StartCounts();
    private final OperationCounter bookingOperations = new OperationCounter();
    private final LeaderTermDependencies leaderTermDependencies;
    private final HttpRouter router;
    private final StatusLogTask statusLog;
    private final StoreProbeTask storeProbe;
    /** Null while this node is not the leader. */
    private LeaderTerm term;

    /**
     * Creates a controller that uses the given HTTP client, clock and timers.
     *
     * @param processId distinguishes this process from earlier and later processes of the same node
     */
    public Controller(
            Settings settings,
            OperatorSettings operatorSettings,
            HttpClient httpClient,
            Clock clock,
            Timers timers,
            String processId) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.peers = new Peers(clock, new PeerEvents());
        this.store = new Store(httpClient, clock, settings.storeAddress());
        CloudClient cloud = new CloudClient(httpClient, settings.cloudAddress());
        this.election = new LeaderElection(
                settings.nodeName(), store, clock, timers, operatorSettings.leaderLeaseMicros(), new ElectionEvents());
        this.machineTypes = new MachineTypeCatalog(store, cloud, clock, timers, election::isLeader);
        this.readiness = new Readiness(settings, clock, store, peers, machineTypes, election);
        Optional<RecordedTeamQuotas> recordedQuotas = recordedQuotas(operatorSettings);
        this.quotaLedger = recordedQuotas.map(RecordedTeamQuotas::ledger);
        this.leaderTermDependencies = new LeaderTermDependencies(
                store,
                cloud,
                httpClient,
                clock,
                timers,
                settings,
                operatorSettings,
                election,
                machineTypes,
                readiness::isStoreOutageShared,
                recordedQuotas,
                startCounts,
                bookingOperations);
        JobApi jobs = new JobApi(store, settings, clock, timers, machineTypes::known, submissionQuota(processId));
        this.router = new HttpRouter(
                jobs, new HeartbeatEndpoint(settings.nodeName(), election, () -> term), readiness, this::metrics);
        ProcessMetrics processMetrics = new ProcessMetrics();
        this.statusLog = new StatusLogTask(processMetrics, jobs, clock, timers);
        this.storeProbe = new StoreProbeTask(store, processMetrics, clock, timers);
    }

    /** Creates the quota ledger only if it is enabled, so that its libraries are not loaded otherwise. */
    private Optional<RecordedTeamQuotas> recordedQuotas(OperatorSettings operatorSettings) {
        return switch (operatorSettings.teamLimitSource()) {
            case SETTINGS -> Optional.empty();
            case RECORDED -> Optional.of(recordedQuotas(BudgetDivision::roundRobin));
            case RECORDED_WITH_SOLVER -> Optional.of(recordedQuotas(new IntegerProgramDivision()));
        };
    }

    private RecordedTeamQuotas recordedQuotas(BudgetDivision division) {
        return new RecordedTeamQuotas(new QuotaLedger(store, settings, clock, timers), new BudgetPlanner(division));
    }

    private SubmissionQuota submissionQuota(String processId) {
        String owner = settings.nodeName() + "#" + processId;
        return quotaLedger
                .<SubmissionQuota>map(ledger -> new BudgetedSubmissionQuota(ledger, owner))
                .orElseGet(SettingsSubmissionQuota::new);
    }

    /** Starts the background tasks, among them the leader election. */
    public void start() {
        election.start();
        machineTypes.start();
        statusLog.start();
        storeProbe.start();
        quotaLedger.ifPresent(QuotaLedger::start);
    }

    /** Ends the leader term, then cancels all background tasks. */
    public void stop() {
        endTerm();
        election.cancel();
        machineTypes.cancel();
        statusLog.cancel();
        storeProbe.cancel();
        quotaLedger.ifPresent(QuotaLedger::cancel);
    }

    /** Handles the HTTP requests to this controller. */
    public Server.Handler requestHandler() {
        return router;
    }

    /** The other controllers and their last reported state. */
    public Peers peers() {
        return peers;
    }

    /** Whether this node holds the leader's lease, as far as it knows. */
    public boolean isLeader() {
        return election.isLeader();
    }

    /** Counts what this process has done with single bookings, in all its terms. */
    public OperationCounter bookingOperations() {
        return bookingOperations;
    }

    /** Counts of task starts in all leader terms since the process started. */
    public StartCounts startCounts() {
        return startCounts;
    }

    /** The metrics of this controller in the Prometheus text format. */
    public String metrics() {
        ControllerMetrics metrics = new ControllerMetrics();
        metrics.reportProcess(election.isLeader(), startCounts, bookingOperations);
        if (term != null) {
            term.reportTo(metrics);
        }
        return metrics.toString();
    }

    private void endTerm() {
        if (term != null) {
            term.stop();
            term = null;
        }
    }

    /** Starts a leader term when this node is elected and ends it when this node loses leadership. */
    private final class ElectionEvents implements LeaderElection.Listener {
        @Override
        public void elected(long fencingToken, long fencingTokenVersion) {
            LOG.info("fencing token {}: {} leads, version {}", fencingToken, settings.nodeName(), Main.VERSION);
            term = new LeaderTerm(leaderTermDependencies, fencingToken, fencingTokenVersion);
            term.start();
        }

        @Override
        public void deposed() {
            endTerm();
        }
    }

    /** Reports this node's status to its peers, and passes their reports to the election. */
    private final class PeerEvents implements Peers.LocalNode {
        @Override
        public PeerStatus status() {
            return new PeerStatus(
                    settings.nodeName(),
                    election.fencingToken(),
                    election.isLeader(),
                    readiness.isStoreReachable(),
                    readiness.servesUsersAsStandby());
        }

        @Override
        public void peerIsLeader(String name, long fencingToken) {
            election.peerReportsLeadership(fencingToken);
        }

        @Override
        public void peerProcessEnded(String name) {
            election.peerProcessEnded(name);
        }
    }
}

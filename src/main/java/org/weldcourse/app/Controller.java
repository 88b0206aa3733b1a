package org.weldcourse.app;

import java.util.Optional;
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
 * One controller: makes its parts, connects them, starts and stops them. It owns the leader's term, which lasts from
 * election to deposition; all other state is its parts' own. All of it runs on one event loop.
 */
public final class Controller {
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
    private final LeaderTermDependencies termDependencies;
    private final HttpRouter router;
    private final StatusLogTask statusLog;
    private final StoreProbeTask storeProbe;
    /** Null while this node is not the leader. */
    private LeaderTerm term;

    /**
     * A controller on the given network, clock and timers. {@code process} tells this process from any other that had or
     * will have the same node name.
     */
    public Controller(
            Settings settings,
            OperatorSettings operatorSettings,
            HttpClient caller,
            Clock clock,
            Timers timers,
            String process) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.peers = new Peers(clock, new PeerEvents());
        this.store = new Store(caller, clock, settings.storeAddress());
        CloudClient cloud = new CloudClient(caller, settings.cloudAddress());
        this.election = new LeaderElection(
                settings.nodeName(), store, clock, timers, operatorSettings.leaderLeaseMicros(), new ElectionEvents());
        this.machineTypes = new MachineTypeCatalog(store, cloud, clock, timers, election::isLeader);
        this.readiness = new Readiness(settings, clock, store, peers, machineTypes, election);
        Optional<RecordedTeamQuotas> recordedQuotas = recordedQuotas(operatorSettings);
        this.quotaLedger = recordedQuotas.map(RecordedTeamQuotas::ledger);
        this.termDependencies = new LeaderTermDependencies(
                store,
                cloud,
                caller,
                clock,
                timers,
                settings,
                operatorSettings,
                election,
                machineTypes,
                readiness::isStoreOutageShared,
                recordedQuotas,
                startCounts);
        JobApi jobs = new JobApi(store, settings, clock, timers, machineTypes::known, submissionQuota(process));
        this.router = new HttpRouter(
                jobs, new HeartbeatEndpoint(settings.nodeName(), election, () -> term), readiness, this::metrics);
        ProcessMetrics processMetrics = new ProcessMetrics();
        this.statusLog = new StatusLogTask(processMetrics, jobs, clock, timers);
        this.storeProbe = new StoreProbeTask(store, processMetrics, clock, timers);
    }

    /** Made only where they are switched on: their libraries are loaded with the first use. */
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

    private SubmissionQuota submissionQuota(String process) {
        String owner = settings.nodeName() + "#" + process;
        return quotaLedger
                .<SubmissionQuota>map(ledger -> new BudgetedSubmissionQuota(ledger, owner))
                .orElseGet(SettingsSubmissionQuota::new);
    }

    /** Starts the background tasks: this node stands for election from now on. */
    public void start() {
        election.start();
        machineTypes.start();
        statusLog.start();
        storeProbe.start();
        quotaLedger.ifPresent(QuotaLedger::start);
    }

    /** Stops the leader's term first, then all background tasks. */
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

    /** What is known of the other controllers. */
    public Peers peers() {
        return peers;
    }

    /** Whether this node believes it is the leader. */
    public boolean isLeader() {
        return election.isLeader();
    }

    /** Starts of tasks since the process began, over all of its terms as the leader. */
    public StartCounts startCounts() {
        return startCounts;
    }

    /** What a scrape shows of this controller, in the text format of Prometheus. */
    public String metrics() {
        ControllerMetrics metrics = new ControllerMetrics();
        metrics.addProcess(election.isLeader(), startCounts);
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

    /** Begins and ends the leader's term. */
    private final class ElectionEvents implements LeaderElection.Listener {
        @Override
        public void elected(long fencingToken, long fencingTokenVersion) {
            term = new LeaderTerm(termDependencies, fencingToken, fencingTokenVersion);
            term.start();
        }

        @Override
        public void deposed() {
            endTerm();
        }
    }

    /** Tells the peers of this node, and the election what is heard of them. */
    private final class PeerEvents implements Peers.LocalNode {
        @Override
        public PeerStatus status() {
            return new PeerStatus(
                    settings.nodeName(),
                    election.fencingToken(),
                    election.isLeader(),
                    readiness.reachesStore(),
                    readiness.servesUsersAsFollower());
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

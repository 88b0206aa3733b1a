package org.weldcourse.leader;

import java.util.Optional;
import org.weldcourse.cluster.OperationCounter;
import org.weldcourse.election.LeaderElection;
import org.weldcourse.fleet.CloudClient;
import org.weldcourse.fleet.MachineTypeCatalog;
import org.weldcourse.http.HttpClient;
import org.weldcourse.quota.enforcement.BudgetPlanner;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.workers.StartCounts;

/**
 * The components that a leader's term depends on. They belong to the controller and outlive the term.
 *
 * @param recordedQuotas empty where the teams' quotas are those of the settings file
 */
public record LeaderTermDependencies(
        Store store,
        CloudClient cloud,
        HttpClient httpClient,
        Clock clock,
        Timers timers,
        Settings settings,
        OperatorSettings operatorSettings,
        LeaderElection election,
        MachineTypeCatalog machineTypes,
        StoreOutage storeOutage,
        Optional<RecordedTeamQuotas> recordedQuotas,
        StartCounts startCounts,
        OperationCounter bookingOperations) {

    /** Team quotas that are kept in the store: their ledger, and the planner of the teams' budgets. */
    public record RecordedTeamQuotas(QuotaLedger ledger, BudgetPlanner planner) {}

    /** Tells whether an outage of the store affects all controllers or only this one. */
    public interface StoreOutage {
        /** Whether the other controllers report in their own heartbeats that the store doesn't serve them either. */
        boolean affectsAllControllers();
    }
}

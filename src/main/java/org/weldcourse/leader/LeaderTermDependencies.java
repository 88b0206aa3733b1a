package org.weldcourse.leader;

import java.util.Optional;
import org.weldcourse.election.LeaderElection;
import org.weldcourse.fleet.CloudClient;
import org.weldcourse.fleet.MachineTypeCatalog;
import org.weldcourse.http.Caller;
import org.weldcourse.quota.enforcement.BudgetPlanner;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.workers.StartCounts;

/**
 * What a leader's term depends on; all of it outlives the term.
 *
 * @param recordedQuotas empty where the teams' quotas are those of the settings file
 */
public record LeaderTermDependencies(
        Store store,
        CloudClient cloud,
        Caller caller,
        Clock clock,
        Timers timers,
        Settings settings,
        OperatorSettings operatorSettings,
        LeaderElection election,
        MachineTypeCatalog machineTypes,
        StoreOutage storeOutage,
        Optional<RecordedTeamQuotas> recordedQuotas,
        StartCounts startCounts) {

    /** Team quotas on record: the ledger, and how budgets are planned. */
    public record RecordedTeamQuotas(QuotaLedger ledger, BudgetPlanner planner) {}

    /** Tells an outage of the store for all controllers from one that this controller has alone. */
    public interface StoreOutage {
        /** Whether, by the other controllers' own heartbeats, the store serves none of them either. */
        boolean affectsAllControllers();
    }
}

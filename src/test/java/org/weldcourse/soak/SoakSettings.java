package org.weldcourse.soak;

import java.nio.file.Path;
import java.util.Set;

/**
 * Settings that all runs of a soak test share.
 *
 * @param faults the kinds of faults to choose from
 * @param faultMillis how long faults are injected
 * @param operatorsFile the operators' settings file of the controllers, or null
 * @param directory the parent of the directories that hold the logs of the runs
 */
record SoakSettings(
        int controllers, int machines, Set<SoakFault> faults, long faultMillis, String operatorsFile, Path directory) {}

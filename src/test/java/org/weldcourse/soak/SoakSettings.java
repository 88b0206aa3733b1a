package org.weldcourse.soak;

import java.nio.file.Path;
import java.util.Set;

/** What a soak run is like: so many controllers and machines, these faults for so long, and where logs go. */
record SoakSettings(
        int controllers, int machines, Set<SoakFault> faults, long faultMillis, String operatorsFile, Path directory) {}

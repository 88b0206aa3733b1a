package org.weldcourse.fleet;

import java.util.List;
import java.util.Map;
import org.weldcourse.placement.WaitReason;

/**
 * What to launch, and what each demand waits for.
 *
 * @param requests the launches
 * @param reasons what the jobs wait for, by job id
 */
public record ScaleOutPlan(List<ScaleOutRequest> requests, Map<String, WaitReason> reasons) {}

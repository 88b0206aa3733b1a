package org.weldcourse.fleet;

/** Why a machine is deleted. */
enum ScaleInReason {
    /** The deletion was requested before but is not confirmed yet. */
    NOT_CONFIRMED("deletion not confirmed yet"),
    /** The cloud reports that the machine stopped on its own. */
    FAILED("failed"),
    /** Tasks of several jobs failed on the machine and none has succeeded since; it is unused, or the jobs are sound. */
    FAULTY("faulty"),
    /** The machine has sent no heartbeat within the timeout. */
    LOST("no heartbeat"),
    /** The machine did not boot in time. */
    BOOT_TIMED_OUT("did not boot in time"),
    /** The announced reclaim time has passed, and the machine sends no heartbeats. */
    RECLAIMED("reclaimed by the cloud"),
    /** The cloud has announced the machine's reclaim, and no task runs on it. */
    RECLAIM_ANNOUNCED("reclaim announced by the cloud, no tasks left"),
    /** The machine's heartbeats arrive, but responses don't reach it. */
    UNREACHABLE("heartbeats arrive, but responses don't reach it"),
    /** The machine has been idle for long enough, and no warm pool needs it. */
    IDLE("idle");

    private final String text;

    ScaleInReason(String text) {
        this.text = text;
    }

    /** Returns the reason as text for log messages. */
    String text() {
        return text;
    }
}

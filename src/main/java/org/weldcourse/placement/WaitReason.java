package org.weldcourse.placement;

/** What the pending tasks of a job wait for, as far as admission and scale-out have decided. */
public enum WaitReason {
    /** The team's quota limit. */
    QUOTA("quota"),
    /** Scale-out expects that running machines have room in time. */
    RUNNING_MACHINES("running machines"),
    /** Scale-out expects that booting machines have room. */
    BOOTING_MACHINES("booting machines"),
    /** Scale-out launches machines. */
    LAUNCH("launch"),
    /** Scale-out puts off the launch of a machine that the tasks would leave mostly unused. */
    LAUNCH_DEFERRED("launch deferred"),
    /** Scale-out finds no offering with capacity that the job allows. */
    NO_OFFERING("no offering"),
    /** Scale-out has not planned for the job yet. */
    NOT_PLANNED("not planned yet");

    private final String text;

    WaitReason(String text) {
        this.text = text;
    }

    /** Returns the text for log messages and metrics. */
    public String text() {
        return text;
    }
}

package org.weldcourse.workers;

/** A command for a worker. */
public record Order(Kind kind, TaskName task, int attempt, long graceMicros) {
    public enum Kind {
        RUN,
        HALT,
        FORGET
    }

    public static Order run(TaskName task, int attempt) {
        return new Order(Kind.RUN, task, attempt, 0);
    }

    public static Order halt(TaskName task, int attempt, long graceMicros) {
        return new Order(Kind.HALT, task, attempt, graceMicros);
    }

    public static Order forget(TaskName task, int attempt) {
        return new Order(Kind.FORGET, task, attempt, 0);
    }
}

package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.workers.Report.Cause;
import org.weldcourse.workers.Report.State;

/** The workers' words: reports in, orders out. */
public final class CheckinCodec {
    private CheckinCodec() {
    }

    /** Null when the body is no report. */
    public static Report report(Map<String, Object> body) {
        String machine = Json.text(body, "forge");
        long session = Json.integer(body, "shift", 0);
        long sequence = Json.integer(body, "stitch", -1);
        if (machine == null || session < 1 || sequence < 0) {
            return null;
        }
        List<Report.Task> tasks = new ArrayList<>();
        for (Object item : Json.list(body.get("beads"))) {
            Map<String, Object> bead = Json.object(item);
            TaskName name = TaskName.parse(Json.text(bead, "bead"));
            State state = state(Json.text(bead, "heat"));
            if (name == null || state == null) {
                return null;
            }
            tasks.add(new Report.Task(name, (int) Json.integer(bead, "strike", 0), state,
                    state == State.EXITED ? cause(Json.text(bead, "cause")) : null));
        }
        double notice = Json.decimal(body, "recall_s", -1);
        return new Report(machine, Json.text(body, "addr"), Json.text(body, "rig"), Json.text(body, "yard"),
                Json.flag(body, "loaners"), session, sequence, Json.integer(body, "torch", 0),
                notice < 0 ? Report.NO_NOTICE : Math.round(notice * 1e6), tasks);
    }

    private static State state(String heat) {
        if (heat == null) {
            return null;
        }
        return switch (heat) {
            case "fetching" -> State.FETCHING;
            case "gathering" -> State.WAITING;
            case "running" -> State.RUNNING;
            case "saving" -> State.SAVING;
            case "exited" -> State.EXITED;
            default -> null;
        };
    }

    private static Cause cause(String cause) {
        return switch (String.valueOf(cause)) {
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "mates_gone" -> Cause.PEERS;
            case "alone" -> Cause.ALONE;
            case "no_room" -> Cause.NO_ROOM;
            case "busy" -> Cause.BUSY;
            case "unknown" -> Cause.UNKNOWN;
            default -> Cause.ERROR;
        };
    }

    public static Map<String, Object> answer(long token, List<Order> orders) {
        return Json.of("torch", token, "orders", orders(orders));
    }

    public static Map<String, Object> direct(long token, long session, List<Order> orders) {
        return Json.of("torch", token, "shift", session, "orders", orders(orders));
    }

    private static List<Object> orders(List<Order> orders) {
        List<Object> out = new ArrayList<>(orders.size());
        for (Order order : orders) {
            String task = order.task().toString();
            out.add(switch (order.kind()) {
                case RUN -> Json.of("order", "run", "bead", task, "strike", order.attempt());
                case HALT -> Json.of("order", "halt", "bead", task, "strike", order.attempt(),
                        "cooldown_s", order.graceMicros() / 1e6);
                case FORGET -> Json.of("order", "forget", "bead", task, "strike", order.attempt());
            });
        }
        return out;
    }
}

package review;

import java.util.List;
import java.util.Map;

/** A job of a user, and how long its tasks really run. */
final class Job {
    String id;
    String course;
    String crew;
    String shape = "array";
    String rank = "idle";
    int beads = 1;
    double cpus = 1;
    double memGb = 1;
    String image = "img-01";
    double imageGb = 0.5;
    String yard;
    List<String> rigs;
    boolean together;
    boolean apart;
    boolean loaners;
    double expectedS;
    double runS = 1e9;

    Map<String, Object> body() {
        return Json.of(
                "name_id", id, "course", course, "crew", crew, "shape", shape, "rank", rank, "beads", beads,
                "cpus", cpus, "gpus", 0.0, "mem_gb", memGb, "blank", image, "size_gb", imageGb, "rigs", rigs,
                "yard", yard, "together", together, "apart", apart, "loaners", loaners, "expected_s", expectedS,
                "tack_s", 0.0, "quench_s", 0.0, "due_s", null);
    }
}

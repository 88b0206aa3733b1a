package rev;

import java.util.List;
import java.util.Map;

/** Figures of a deployment, as its page and site file give them. */
record Site(
        String name,
        List<String> zones,
        int controllers,
        double reportS,
        double leaseS,
        double gangWaitS,
        double gangPeerS,
        double cancelS,
        double rps,
        double writeRps,
        int valueKb,
        int operations,
        double cloudRps,
        double listLagS,
        double clockOffMs,
        double cores,
        double memoryMb,
        int sockets,
        List<String> teams,
        List<Type> types,
        Map<String, int[]> capacity) {

    /** A machine type; capacity is by "type zone": ordinary and spot machines. */
    record Type(String name, double cpus, double memGb, double localGb, double pullGbPerS, double price,
            double spotPrice, double readyS) {}

    static final Site TABUA = new Site(
            "tabua-bookings",
            List.of("labasa-north", "nadi-west", "suva-east"),
            3, 1, 10, 40, 4, 35, 250, 50, 32, 16, 3, 8, 1000, 0.136, 148, 500,
            List.of("front-of-house", "branch-ops", "guest-comms"),
            List.of(
                    new Type("kava-small", 4, 32, 50, 0.25, 0.26, 0.11, 40),
                    new Type("kava-mid", 16, 64, 60, 0.4, 0.91, 0.36, 50),
                    new Type("kava-large", 32, 128, 80, 0.8, 1.62, 0.72, 20)),
            Map.of(
                    "kava-small suva-east", new int[] {3, 1},
                    "kava-small nadi-west", new int[] {4, 2},
                    "kava-small labasa-north", new int[] {4, 2},
                    "kava-mid suva-east", new int[] {1, 1},
                    "kava-mid nadi-west", new int[] {1, 1},
                    "kava-mid labasa-north", new int[] {1, 1},
                    "kava-large suva-east", new int[] {1, 1},
                    "kava-large nadi-west", new int[] {1, 1},
                    "kava-large labasa-north", new int[] {1, 1}));

    static final Site LAKAZ = new Site(
            "lakaz-inspect",
            List.of("curepipe", "port-louis"),
            3, 3, 22, 40, 8, 47, 120, 15, 4, 8, 8, 4, 250, 0.34, 320, 2500,
            List.of("quality-desk-0", "quality-desk-1", "quality-desk-2", "quality-desk-3", "quality-desk-4",
                    "quality-desk-5", "quality-desk-6", "quality-desk-7"),
            List.of(
                    new Type("dodo-eight", 8, 16, 50, 0.4, 0.49, 0.19, 30),
                    new Type("dodo-thirtytwo", 32, 64, 35, 0.4, 1.96, 0.77, 25)),
            Map.of(
                    "dodo-eight port-louis", new int[] {19, 4},
                    "dodo-thirtytwo curepipe", new int[] {4, 1}));
}

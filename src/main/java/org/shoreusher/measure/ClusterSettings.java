package org.shoreusher.measure;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Generates the settings files of a cluster's controllers. */
final class ClusterSettings {
    private static final String FORM =
            """
            {"host_name":"%s","zone":"%s","front":"%s","back":"%s","members":[%s],
             "endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
             "deployment":{"count":%d,"zones":[%s],"teams":[%s],"objectives":[],
              "workers":{"report_s":%s,"lease_s":%s,"cancel_s":60.0},
              "state":{"rps":400.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":20},
              "cloud":{"rps":7.0,"list_lag_s":5.0},
              "limits":{"sockets":%d},"clock_off_ms":25.0}}\
            """;

    /** Sockets for each machine: a network partition may leave as many again behind. */
    private static final double SOCKETS_PER_MACHINE = 2;

    private static final int OTHER_SOCKETS = 500;

    private ClusterSettings() {}

    /** The settings of one controller as JSON. */
    static String json(Cluster.Shape shape, String host, Cluster cluster) {
        List<String> zones = shape.offer().zones();
        return FORM.formatted(
                host,
                zone(shape, host, cluster),
                cluster.fronts().get(host),
                cluster.backs().get(host),
                members(shape, host, cluster),
                cluster.cloudPort(),
                cluster.statePort(),
                shape.controllers(),
                zones.stream().map(z -> '"' + z + '"').collect(Collectors.joining(",")),
                teams(shape.teams()),
                shape.reportS(),
                shape.leaseS(),
                (int) (shape.machines() * SOCKETS_PER_MACHINE) + OTHER_SOCKETS);
    }

    private static String zone(Cluster.Shape shape, String host, Cluster cluster) {
        List<String> zones = shape.offer().zones();
        return zones.get(List.copyOf(cluster.fronts().keySet()).indexOf(host) % zones.size());
    }

    private static String members(Cluster.Shape shape, String host, Cluster cluster) {
        return cluster.backs().entrySet().stream()
                .filter(e -> !e.getKey().equals(host))
                .map(
                        e ->
                                "{\"host_name\":\"%s\",\"zone\":\"%s\",\"peer_addr\":\"%s\"}"
                                        .formatted(
                                                e.getKey(),
                                                zone(shape, e.getKey(), cluster),
                                                e.getValue()))
                .collect(Collectors.joining(","));
    }

    private static String teams(Map<String, Double> limits) {
        return limits.entrySet().stream()
                .map(
                        e ->
                                ("{\"name\":\"%s\",\"cpus\":0.0,\"cpus_max\":%s,\"gpus\":0.0,"
                                                + "\"gpus_max\":0.0}")
                                        .formatted(e.getKey(), e.getValue()))
                .collect(Collectors.joining(","));
    }
}

package org.shoreusher.measure;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Generates the settings files of a cluster's controllers. */
final class ClusterSettings {
    private static final String TEMPLATE =
            """
            {"host_name":"%s","zone":"%s","front":"%s","back":"%s","members":[%s],
             "endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
             "deployment":{"count":%d,"zones":[%s],"teams":[%s],"objectives":[],
              "workers":{"report_s":%s,"lease_s":%s,"cancel_s":60.0},
              "state":{"rps":400.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":20},
              "cloud":{"rps":7.0,"list_lag_s":5.0},
              "limits":{"sockets":%d},"clock_off_ms":25.0}}\
            """;

    /** Sockets per machine: one for its worker, and one that a network partition may leave open. */
    private static final double SOCKETS_PER_MACHINE = 2;

    private static final int OTHER_SOCKETS = 500;

    private ClusterSettings() {}

    /** The settings of one controller as JSON. */
    static String json(Cluster.Topology topology, String host, Cluster cluster) {
        List<String> zones = topology.offer().zones();
        return TEMPLATE.formatted(
                host,
                zone(topology, host, cluster),
                cluster.frontAddresses().get(host),
                cluster.peerAddresses().get(host),
                members(topology, host, cluster),
                cluster.cloudPort(),
                cluster.storePort(),
                topology.controllerCount(),
                zones.stream().map(name -> '"' + name + '"').collect(Collectors.joining(",")),
                teams(topology.teamCpuQuotas()),
                topology.heartbeatIntervalS(),
                topology.workerLeaseS(),
                (int) (topology.machineCount() * SOCKETS_PER_MACHINE) + OTHER_SOCKETS);
    }

    private static String zone(Cluster.Topology topology, String host, Cluster cluster) {
        List<String> zones = topology.offer().zones();
        return zones.get(
                List.copyOf(cluster.frontAddresses().keySet()).indexOf(host) % zones.size());
    }

    private static String members(Cluster.Topology topology, String host, Cluster cluster) {
        return cluster.peerAddresses().entrySet().stream()
                .filter(entry -> !entry.getKey().equals(host))
                .map(
                        entry ->
                                "{\"host_name\":\"%s\",\"zone\":\"%s\",\"peer_addr\":\"%s\"}"
                                        .formatted(
                                                entry.getKey(),
                                                zone(topology, entry.getKey(), cluster),
                                                entry.getValue()))
                .collect(Collectors.joining(","));
    }

    private static String teams(Map<String, Double> cpuQuotas) {
        return cpuQuotas.entrySet().stream()
                .map(
                        entry ->
                                ("{\"name\":\"%s\",\"cpus\":0.0,\"cpus_max\":%s,\"gpus\":0.0,"
                                                + "\"gpus_max\":0.0}")
                                        .formatted(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining(","));
    }
}

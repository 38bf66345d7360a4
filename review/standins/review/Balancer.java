package review;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.shoreusher.wire.FieldMap;

/**
 * The load balancer, and the users behind it. It probes each node once a second; two failures in a row make a node
 * unhealthy and two successes healthy again. New connections go to the healthy nodes in turn; one that is refused goes
 * to the next node.
 */
final class Balancer {
    private final Cluster cluster;
    private final int[] streak;
    private final boolean[] healthy;
    private final AtomicInteger turn = new AtomicInteger();

    Balancer(Cluster cluster) {
        this.cluster = cluster;
        streak = new int[cluster.size()];
        healthy = new boolean[cluster.size()];
        Arrays.fill(healthy, true);
        for (int i = 0; i < cluster.size(); i++) {
            int node = i;
            Http.daemon(() -> probe(node));
        }
    }

    private void probe(int node) {
        while (true) {
            boolean ready = cluster.ready(node);
            streak[node] = ready ? Math.max(1, streak[node] + 1) : Math.min(-1, streak[node] - 1);
            boolean now = streak[node] <= -2 ? false : streak[node] >= 2 ? true : healthy[node];
            if (now != healthy[node]) {
                cluster.note("balancer: " + Cluster.host(node) + (now ? " healthy" : " unhealthy"));
                healthy[node] = now;
            }
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** One request on a new connection to a healthy node; the node is in the record. */
    Http.Response request(String who, String path, byte[] body, int timeoutMs) {
        Http.Response response = Http.REFUSED;
        int node = -1;
        for (int tries = 0; tries < cluster.size() && response == Http.REFUSED; tries++) {
            int candidate = Math.floorMod(turn.getAndIncrement(), cluster.size());
            if (healthy[candidate]) {
                node = candidate;
                response = Http.call(cluster.frontPort(node), path, body, timeoutMs);
            }
        }
        cluster.note(who + " " + (body == null ? "GET " : "POST ") + path + " at "
                + (node < 0 ? "no healthy node" : Cluster.host(node)) + " -> "
                + (response.status() == 0 ? "no answer" : response.status() + " " + response.body()));
        return response;
    }

    /** Asks about a job once. */
    Http.Response poll(String who, String id) {
        return request(who, "/v2/runs/" + id, null, 2_000);
    }

    /**
     * Submits a job as the protocol says: 5 s for an answer, retries after 1 s or Retry-After, for 60 s in total, none
     * after 200, 201, 400 and 422. Returns the last answer.
     */
    Http.Response submit(String who, byte[] body) throws InterruptedException {
        double endS = cluster.nowS() + 60;
        while (true) {
            Http.Response response = request(who, "/v2/runs", body, 5_000);
            int status = response.status();
            if (status == 200 || status == 201 || status == 400 || status == 422) {
                return response;
            }
            double waitS = Math.max(1, Math.min(30, response.retryAfterS()));
            if (cluster.nowS() + waitS > endS) {
                return response;
            }
            Thread.sleep((long) (waitS * 1_000));
        }
    }

    Http.Response submit(String who, Map<String, Object> job) throws InterruptedException {
        return submit(who, FieldMap.toCbor(job));
    }
}

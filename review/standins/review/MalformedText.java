package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.shoreusher.wire.FieldMap;

/**
 * Three users send a submission whose image name has been cut in the middle of a character, so that the text is not
 * UTF-8 and the body not valid CBOR. Other users then submit proper jobs.
 */
final class MalformedText extends Case {
    /** The first half of a surrogate pair, as a text that is cut there contains it. */
    private static final byte[] HALF_A_CHARACTER = {(byte) 0xED, (byte) 0xA0, (byte) 0xBD};

    private static final int USERS = 3;
    private final Set<String> started = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) {
        Case.main(new MalformedText(), args);
    }

    @Override
    Cluster.Settings settings() {
        return Cluster.Settings.prairie(6);
    }

    @Override
    Worker.Jobs jobs() {
        return new Worker.Jobs() {
            @Override
            public long runMs(String sheet) {
                return 2_000;
            }

            @Override
            public void task(Worker worker, String sheet, boolean on, String why) {
                cluster.note("worker " + worker.box + ": " + sheet + (on ? " is on it" : " is gone: " + why));
                started.add(sheet);
            }
        };
    }

    @Override
    String run() throws Exception {
        Balancer balancer = new Balancer(cluster);
        List<Integer> answers = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < USERS; i++) {
            byte[] body = FieldMap.toCbor(Cluster.job("wk-00010" + i, "drafting-crew", 1, 2, "img"));
            if (trouble) {
                Cluster.replace(body, "img", HALF_A_CHARACTER);
            }
            threads.add(submit(balancer, "user " + i + (trouble ? " (malformed)" : ""), body, answers));
        }
        Thread.sleep(15_000);
        List<Integer> properAnswers = new CopyOnWriteArrayList<>();
        List<Thread> properThreads = new ArrayList<>();
        for (int i = 0; i < USERS; i++) {
            Map<String, Object> job = Cluster.job("wk-00020" + i, "drafting-crew", 2, 2, "plans");
            properThreads.add(submit(balancer, "user " + (USERS + i), FieldMap.toCbor(job), properAnswers));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        for (Thread thread : properThreads) {
            thread.join();
        }
        Thread.sleep(10_000);
        AtomicInteger ready = new AtomicInteger();
        for (int i = 0; i < cluster.size(); i++) {
            ready.addAndGet(cluster.ready(i) ? 1 : 0);
        }
        String result = "last answers to the " + (trouble ? "malformed" : "first") + " submissions " + answers + ", to the proper ones "
                + properAnswers + " (0: none); " + started.size() + " tasks started; " + ready + " of "
                + cluster.size() + " controllers ready";
        cluster.note("result: " + result);
        boolean accepted = properAnswers.stream().anyMatch(status -> status == 200 || status == 201);
        require(accepted || ready.get() > 0, "no controller is ready");
        return !accepted && started.isEmpty() ? "nothing_ran: " + result : null;
    }

    private static Thread submit(Balancer balancer, String who, byte[] body, List<Integer> answers) {
        return Http.daemon(() -> {
            try {
                answers.add(balancer.submit(who, body).status());
            } catch (InterruptedException e) {
                answers.add(-1);
            }
        });
    }
}

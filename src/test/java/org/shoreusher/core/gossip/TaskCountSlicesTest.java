package org.shoreusher.core.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** The task counts of more open jobs than fit into one message to the peers. */
class TaskCountSlicesTest {
    private static final Settings SENDER_SETTINGS =
            new SettingsBuilder(CoreTestData.settings(List.of())).host("b", List.of()).build();

    /** ms; how often a controller does its due work. */
    private static final long TICK_MS = 50;

    private final Map<String, Job> jobs = new HashMap<>();
    private final GossipCodec codec = new GossipCodec();
    private final Outbox senderOutbox = new Outbox(SENDER_SETTINGS, 1);
    private final PeerGossip sender =
            new PeerGossip(SENDER_SETTINGS, senderOutbox, 1, shardNumber -> new LeaderOfAllJobs());
    private final Outbox receiverOutbox = new Outbox(CoreTestData.settings(List.of()), 1);
    private final PeerGossip receiver =
            new PeerGossip(
                    CoreTestData.settings(List.of()), receiverOutbox, 1, shardNumber -> null);
    private int messages;

    /** A shard in which job number n has n completed and n + 1 running tasks. */
    private final class LeaderOfAllJobs implements LedShardView {
        @Override
        public boolean isLeader() {
            return true;
        }

        @Override
        public ShardSummary summary() {
            return new ShardSummary(4, 1, 2, Map.of());
        }

        @Override
        public Optional<TaskCounts> taskCounts(Job job) {
            return Optional.of(countsOf(job.id()));
        }

        @Override
        public Map<String, Job> jobs() {
            return jobs;
        }
    }

    private static TaskCounts countsOf(String jobId) {
        int number = Integer.parseInt(jobId.substring(jobId.length() - 6));
        return new TaskCounts(number, number + 1);
    }

    /** Adds jobs with the longest ids that users may choose. */
    private void addJobs(int count) {
        for (int number = 0; number < count; number++) {
            String jobId = String.format("wk-%037d", number);
            jobs.put(jobId, new Job(jobId, new JobSpecBuilder(jobId).build(), 0));
        }
    }

    private void tick(long nowMs) {
        senderOutbox.setNow(new ClockReading(nowMs, nowMs));
        receiverOutbox.setNow(new ClockReading(nowMs, nowMs));
        sender.recordStart();
        receiver.recordStart();
        sender.sendIfDue();
        for (Effect effect : senderOutbox.drainEffects()) {
            receiver.receive(codec.decode(codec.encode(((Effect.SendGossip) effect).message())));
            messages++;
        }
    }

    /** A job that was left out of every message would have no state at the other nodes for good. */
    @Example
    void countsOfAllJobsAreKnownToPeersAllTheTime() {
        addJobs(9_000);
        for (long nowMs = 10_000; nowMs < 16_000; nowMs += TICK_MS) {
            tick(nowMs);
            if (nowMs >= 10_000 + GossipConstants.MAX_TASK_COUNT_AGE_MS) {
                jobs.keySet()
                        .forEach(
                                jobId ->
                                        assertEquals(
                                                Optional.of(countsOf(jobId)),
                                                receiver.taskCounts(0, jobId)));
            }
        }
    }

    /** Many jobs cost more messages, a few do not. */
    @Example
    void jobsThatFitIntoOneMessageAreSentAtTheNormalInterval() {
        addJobs(GossipConstants.JOBS_PER_MESSAGE - 1);
        for (long nowMs = 10_000; nowMs < 15_000; nowMs += TICK_MS) {
            tick(nowMs);
        }
        assertEquals(5_000 / GossipConstants.GOSSIP_INTERVAL_MS, messages);
        jobs.keySet()
                .forEach(jobId -> assertTrue(receiver.taskCounts(0, jobId).isPresent(), jobId));
    }
}

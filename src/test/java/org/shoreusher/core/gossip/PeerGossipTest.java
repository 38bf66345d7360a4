package org.shoreusher.core.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** The conclusions that a node draws from the gossip of its peers, and the gossip that it sends. */
class PeerGossipTest {
    private static final Settings.Address UNUSED_ADDRESS = new Settings.Address("127.0.0.1", 1);
    private static final Settings SETTINGS =
            new SettingsBuilder(CoreTestData.settings(List.of()))
                    .host(
                            "a",
                            List.of(
                                    new Settings.Member("b", UNUSED_ADDRESS, "a"),
                                    new Settings.Member("c", UNUSED_ADDRESS, "a")))
                    .build();
    private static final ShardSummary SUMMARY = new ShardSummary(4, 1, 2, Map.of());

    private final Outbox outbox = new Outbox(SETTINGS, 2);
    private final PeerGossip gossip = new PeerGossip(SETTINGS, outbox, 2, shardNumber -> null);

    private void setTime(long nowMs) {
        outbox.setNow(new ClockReading(nowMs, nowMs));
        gossip.recordStart();
    }

    private void receive(String host, boolean storeReachable, int... ledShards) {
        receiveSentAt(outbox.now().wallMs(), host, storeReachable, ledShards);
    }

    private void receiveSentAt(
            long sentWallMs, String host, boolean storeReachable, int... ledShards) {
        Map<Integer, ShardSummary> shards = new HashMap<>();
        for (int shardNumber : ledShards) {
            shards.put(shardNumber, SUMMARY);
        }
        gossip.receive(
                new GossipMessage(
                        host,
                        sentWallMs,
                        storeReachable,
                        100,
                        shards,
                        Map.of(1, 3),
                        Map.of("wk-000001", 5),
                        Map.of("wk-000001", 2)));
    }

    @Example
    void oldGossipIsNotUsed() {
        setTime(1_000);
        receive("b", true, 1);
        assertTrue(gossip.isResponsive("b"));
        assertFalse(gossip.isResponsive("c"));
        assertEquals(SUMMARY, gossip.shardSummary(1));
        assertNull(gossip.shardSummary(0));
        assertEquals(3, gossip.workersUnableToReachLeader(1));
        setTime(1_000 + GossipConstants.MAX_GOSSIP_AGE_MS);
        assertFalse(gossip.isResponsive("b"));
        assertNull(gossip.shardSummary(1));
        assertEquals(0, gossip.workersUnableToReachLeader(1));
        assertFalse(gossip.anyPeerReachesStore());
    }

    @Example
    void storeOutageOfAllPeersNeedsRecentGossipFromEachPeer() {
        setTime(10_000);
        receive("b", false);
        assertFalse(gossip.isStoreUnavailableToAllPeers(), "no message from c");
        receiveSentAt(10_000 - GossipConstants.MAX_GOSSIP_AGE_MS, "c", false);
        assertFalse(gossip.isStoreUnavailableToAllPeers(), "the network delayed c's message");
        receive("c", true);
        assertFalse(gossip.isStoreUnavailableToAllPeers(), "c reaches the store");
        receive("c", false);
        assertTrue(gossip.isStoreUnavailableToAllPeers());
    }

    @Example
    void interimHostIsTheFirstResponsivePeerThatReachesTheStore() {
        setTime(1_000);
        assertEquals(Optional.empty(), gossip.interimHost("b"));
        receive("c", true);
        receive("b", true);
        assertEquals(Optional.of("b"), gossip.interimHost("c"));
        assertEquals(Optional.of("c"), gossip.interimHost("b"));
        receive("c", false);
        assertEquals(Optional.empty(), gossip.interimHost("b"));
        setTime(1_000 + GossipConstants.PEER_UNRESPONSIVE_MS);
        assertEquals(Optional.empty(), gossip.interimHost("c"), "the gossip of b is overdue");
    }

    @Example
    void leaderIsSuspectedAfterLeaseExpiryOrOverdueRenewalWithoutGossip() {
        setTime(1_000);
        receive("b", true, 0);
        ShardRecord expired = new ShardRecord("b/1", 999, 1, Map.of(), null);
        ShardRecord nearExpiry = new ShardRecord("b/1", 1_001, 1, Map.of(), null);
        ShardRecord renewed = new ShardRecord("b/1", 1_000_000, 1, Map.of(), null);
        assertTrue(gossip.isSuspectedDown(expired));
        assertFalse(gossip.isSuspectedDown(nearExpiry));
        setTime(1_001 + GossipConstants.PEER_UNRESPONSIVE_MS);
        ShardRecord nearExpiryLater =
                new ShardRecord("b/1", outbox.now().wallMs() + 1, 1, Map.of(), null);
        assertTrue(gossip.isSuspectedDown(nearExpiryLater));
        assertFalse(gossip.isSuspectedDown(renewed));
    }

    @Example
    void peersThatLeadFewerShardsHavePriority() {
        setTime(1_000);
        assertEquals(
                0,
                gossip.peersWithPriority(0),
                "a node without shards does not wait for silent peers");
        assertEquals(2, gossip.peersWithPriority(1), "silent peers may be starting");
        receive("b", true);
        receive("c", true, 0, 1);
        assertEquals(1, gossip.peersWithPriority(1));
        assertTrue(gossip.isAnyPeerLeadingTwoFewer(2));
        assertFalse(gossip.isAnyPeerLeadingTwoFewer(1));
    }

    /** Counts are known from a recent message of a leader only; unknown counts are not zeros. */
    @Example
    void taskCountsComeFromARecentMessageOfTheShardsLeader() {
        setTime(10_000);
        assertEquals(Optional.empty(), gossip.taskCounts(1, "wk-000001"));
        receive("b", true, 1);
        assertEquals(Optional.of(new TaskCounts(2, 5)), gossip.taskCounts(1, "wk-000001"));
        assertEquals(Optional.empty(), gossip.taskCounts(1, "wk-000002"));
        assertEquals(Optional.empty(), gossip.taskCounts(0, "wk-000001"));
        setTime(10_000 + GossipConstants.MAX_TASK_COUNT_AGE_MS);
        assertEquals(Optional.of(new TaskCounts(2, 5)), gossip.taskCounts(1, "wk-000001"));
        setTime(10_001 + GossipConstants.MAX_TASK_COUNT_AGE_MS);
        assertEquals(Optional.empty(), gossip.taskCounts(1, "wk-000001"));
    }

    /**
     * A restarted process leads no shard; its messages say nothing about the shard's jobs. The
     * counts of the former process are used until they are too old.
     */
    @Example
    void messageOfARestartedLeaderSaysNothingAboutItsFormerShard() {
        setTime(10_000);
        receive("b", true, 1);
        receive("b", true);
        assertEquals(Optional.of(new TaskCounts(2, 5)), gossip.taskCounts(1, "wk-000001"));
        setTime(10_001 + GossipConstants.MAX_TASK_COUNT_AGE_MS);
        receive("b", true);
        assertEquals(Optional.empty(), gossip.taskCounts(1, "wk-000001"));
    }

    /** The network may deliver a message late; its counts are as old as the message. */
    @Example
    void taskCountsOfADelayedMessageAreNotUsed() {
        setTime(20_000);
        long oldestMs =
                20_000 - GossipConstants.MAX_TASK_COUNT_AGE_MS - 2 * SETTINGS.maxClockOffsetMs();
        receiveSentAt(oldestMs - 1, "b", true, 1);
        assertEquals(Optional.empty(), gossip.taskCounts(1, "wk-000001"));
        receiveSentAt(oldestMs, "b", true, 1);
        assertEquals(Optional.of(new TaskCounts(2, 5)), gossip.taskCounts(1, "wk-000001"));
    }

    /** Users of a node that hears nothing of the leader must get answers from the leader. */
    @Example
    void taskCountsAreMissingAfterALongTimeWithoutAnyOfTheLeader() {
        setTime(10_000);
        setTime(10_000 + GossipConstants.TASK_COUNTS_MISSING_TIMEOUT_MS);
        assertFalse(gossip.areTaskCountsMissing(1));
        receive("b", true, 1);
        setTime(10_001 + GossipConstants.TASK_COUNTS_MISSING_TIMEOUT_MS);
        assertTrue(gossip.areTaskCountsMissing(0));
        assertFalse(gossip.areTaskCountsMissing(1));
    }

    @Example
    void sendsAtFixedIntervalAndExtendsValidityOfStoreOutageGossip() {
        setTime(10_000);
        assertTrue(gossip.sendIfDue());
        assertFalse(gossip.sendIfDue());
        GossipMessage first = lastSent();
        assertEquals("a", first.senderHost());
        assertFalse(first.storeReachable(), "the store has not replied yet");
        long validUntilMs = gossip.storeOutageGossipValidUntilMs();
        assertTrue(validUntilMs > 10_000 + GossipConstants.MAX_GOSSIP_AGE_MS);
        setTime(10_000 + GossipConstants.GOSSIP_INTERVAL_MS);
        assertTrue(gossip.sendIfDue());
        assertEquals(0.5, lastSent().uptimeS());
        assertEquals(
                validUntilMs + GossipConstants.GOSSIP_INTERVAL_MS,
                gossip.storeOutageGossipValidUntilMs());
    }

    private GossipMessage lastSent() {
        List<Effect> effects = outbox.drainEffects();
        return ((Effect.SendGossip) effects.get(effects.size() - 1)).message();
    }
}

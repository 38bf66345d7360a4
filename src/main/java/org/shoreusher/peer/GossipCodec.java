package org.shoreusher.peer;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.GossipMessage.TeamDemand;

/**
 * Encodes and decodes gossip with Kryo. Only {@link GossipMessage} is registered, so that untrusted
 * bytes cannot create objects of other classes. Not thread-safe.
 */
public final class GossipCodec {
    /** Kryo's option for integers of variable length that are rarely negative. */
    private static final boolean OPTIMIZE_POSITIVE = true;

    private final Kryo kryo = new Kryo();

    /** Creates a codec for gossip messages only. */
    public GossipCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.register(GossipMessage.class, new GossipSerializer());
    }

    /** Encodes a message of at most {@link PeerConstants#MAX_PEER_MESSAGE_BYTES}. */
    public byte[] encode(GossipMessage message) {
        Output output =
                new Output(
                        PeerConstants.PEER_MESSAGE_BUFFER_BYTES,
                        PeerConstants.MAX_PEER_MESSAGE_BYTES);
        kryo.writeObject(output, message);
        return output.toBytes();
    }

    /** Decodes a message; null if the bytes are not a valid message. */
    public GossipMessage decode(byte[] bytes) {
        try {
            return kryo.readObject(new Input(bytes), GossipMessage.class);
        } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    /** Encodes the fields in a fixed order, which is the same in all versions. */
    private static final class GossipSerializer extends Serializer<GossipMessage> {
        @Override
        public void write(Kryo kryo, Output output, GossipMessage message) {
            output.writeString(message.senderHost());
            output.writeLong(message.sentWallMs());
            output.writeBoolean(message.storeReachable());
            output.writeDouble(message.uptimeS());
            output.writeVarInt(message.shards().size(), OPTIMIZE_POSITIVE);
            message.shards()
                    .forEach(
                            (shardNumber, summary) -> {
                                output.writeVarInt(shardNumber, OPTIMIZE_POSITIVE);
                                output.writeDouble(summary.cpuHeadroom());
                                output.writeVarInt(summary.surplusMachines(), OPTIMIZE_POSITIVE);
                                output.writeVarInt(summary.machineShortfall(), OPTIMIZE_POSITIVE);
                                output.writeVarInt(summary.teamDemands().size(), OPTIMIZE_POSITIVE);
                                summary.teamDemands()
                                        .forEach(
                                                (team, demand) -> {
                                                    output.writeString(team);
                                                    output.writeDouble(demand.highPriorityCpus());
                                                    output.writeDouble(demand.otherCpus());
                                                });
                            });
            output.writeVarInt(message.redirectedWorkers().size(), OPTIMIZE_POSITIVE);
            message.redirectedWorkers()
                    .forEach(
                            (shardNumber, workers) -> {
                                output.writeVarInt(shardNumber, OPTIMIZE_POSITIVE);
                                output.writeVarInt(workers, OPTIMIZE_POSITIVE);
                            });
            writeTaskCounts(output, message.runningTasks());
            writeTaskCounts(output, message.completedTasks());
        }

        private static void writeTaskCounts(Output output, Map<String, Integer> counts) {
            output.writeVarInt(counts.size(), OPTIMIZE_POSITIVE);
            counts.forEach(
                    (jobId, count) -> {
                        output.writeString(jobId);
                        output.writeVarInt(count, OPTIMIZE_POSITIVE);
                    });
        }

        @Override
        public GossipMessage read(Kryo kryo, Input input, Class<? extends GossipMessage> type) {
            String senderHost = input.readString();
            if (senderHost == null) {
                throw new KryoException("the sender's host of a gossip message must not be null");
            }
            long sentWallMs = input.readLong();
            boolean storeReachable = input.readBoolean();
            double uptimeS = input.readDouble();
            Map<Integer, ShardSummary> shards = new HashMap<>();
            for (int i = readEntryCount(input); i > 0; i--) {
                shards.put(
                        input.readVarInt(OPTIMIZE_POSITIVE),
                        new ShardSummary(
                                input.readDouble(),
                                input.readVarInt(OPTIMIZE_POSITIVE),
                                input.readVarInt(OPTIMIZE_POSITIVE),
                                readDemands(input)));
            }
            Map<Integer, Integer> redirectedWorkers = new HashMap<>();
            for (int i = readEntryCount(input); i > 0; i--) {
                redirectedWorkers.put(
                        input.readVarInt(OPTIMIZE_POSITIVE), input.readVarInt(OPTIMIZE_POSITIVE));
            }
            Map<String, Integer> runningTasks = readTaskCounts(input);
            Map<String, Integer> completedTasks = readTaskCounts(input);
            return new GossipMessage(
                    senderHost,
                    sentWallMs,
                    storeReachable,
                    uptimeS,
                    shards,
                    redirectedWorkers,
                    runningTasks,
                    completedTasks);
        }

        private static Map<String, TeamDemand> readDemands(Input input) {
            Map<String, TeamDemand> demands = new HashMap<>();
            for (int i = readEntryCount(input); i > 0; i--) {
                demands.put(
                        input.readString(), new TeamDemand(input.readDouble(), input.readDouble()));
            }
            return demands;
        }

        private static Map<String, Integer> readTaskCounts(Input input) {
            Map<String, Integer> counts = new HashMap<>();
            for (int i = readEntryCount(input); i > 0; i--) {
                counts.put(input.readString(), input.readVarInt(OPTIMIZE_POSITIVE));
            }
            return counts;
        }

        private static int readEntryCount(Input input) {
            int count = input.readVarInt(OPTIMIZE_POSITIVE);
            if (count < 0 || count > PeerConstants.MAX_PEER_MESSAGE_ENTRIES) {
                throw new KryoException(
                        "a list or map of a gossip message must have 0 to "
                                + PeerConstants.MAX_PEER_MESSAGE_ENTRIES
                                + " entries, but has "
                                + count);
            }
            return count;
        }
    }
}

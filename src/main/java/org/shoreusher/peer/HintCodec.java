package org.shoreusher.peer;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.Hint;
import org.shoreusher.core.Hint.Claim;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.settings.Tuning;

/**
 * Encodes and decodes gossip with Kryo. Only registered classes are decoded, so foreign bytes
 * cannot create other objects. Not thread-safe.
 */
public final class HintCodec {
    private final Kryo kryo = new Kryo();

    /** A codec with only the gossip message registered. */
    public HintCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.register(Hint.class, new HintSerializer());
    }

    /** Encodes a message. */
    public byte[] write(Hint hint) {
        Output out = new Output(Tuning.HINT_BUFFER, Tuning.MAX_HINT);
        kryo.writeObject(out, hint);
        return out.toBytes();
    }

    /** Decodes a message; null if the bytes are not a valid one. */
    public Hint read(byte[] bytes) {
        try {
            return kryo.readObject(new Input(bytes), Hint.class);
        } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    /** Encodes the fields in a fixed order, which all versions share. */
    private static final class HintSerializer extends Serializer<Hint> {
        @Override
        public void write(Kryo kryo, Output out, Hint h) {
            out.writeString(h.senderHost());
            out.writeLong(h.sentWallMs());
            out.writeBoolean(h.storeReachable());
            out.writeDouble(h.uptimeS());
            out.writeVarInt(h.shards().size(), true);
            h.shards()
                    .forEach(
                            (n, part) -> {
                                out.writeVarInt(n, true);
                                out.writeDouble(part.cpuHeadroom());
                                out.writeVarInt(part.idleMachines(), true);
                                out.writeVarInt(part.machineShortfall(), true);
                                out.writeVarInt(part.teamDemands().size(), true);
                                part.teamDemands()
                                        .forEach(
                                                (team, claim) -> {
                                                    out.writeString(team);
                                                    out.writeDouble(claim.highPriorityCpus());
                                                    out.writeDouble(claim.otherCpus());
                                                });
                            });
            out.writeVarInt(h.redirectedWorkers().size(), true);
            h.redirectedWorkers()
                    .forEach(
                            (n, workers) -> {
                                out.writeVarInt(n, true);
                                out.writeVarInt(workers, true);
                            });
            counts(out, h.runningTasks());
            counts(out, h.completedTasks());
        }

        private static void counts(Output out, Map<String, Integer> counts) {
            out.writeVarInt(counts.size(), true);
            counts.forEach(
                    (job, count) -> {
                        out.writeString(job);
                        out.writeVarInt(count, true);
                    });
        }

        @Override
        public Hint read(Kryo kryo, Input in, Class<? extends Hint> type) {
            String from = in.readString();
            if (from == null) {
                throw new KryoException("a hint without sender");
            }
            long sentWallMs = in.readLong();
            boolean stateOk = in.readBoolean();
            double upS = in.readDouble();
            Map<Integer, PartHint> parts = new HashMap<>();
            for (int i = entries(in); i > 0; i--) {
                parts.put(
                        in.readVarInt(true),
                        new PartHint(
                                in.readDouble(),
                                in.readVarInt(true),
                                in.readVarInt(true),
                                claims(in)));
            }
            Map<Integer, Integer> back = new HashMap<>();
            for (int i = entries(in); i > 0; i--) {
                back.put(in.readVarInt(true), in.readVarInt(true));
            }
            return new Hint(from, sentWallMs, stateOk, upS, parts, back, counts(in), counts(in));
        }

        private static Map<String, Claim> claims(Input in) {
            Map<String, Claim> claims = new HashMap<>();
            for (int i = entries(in); i > 0; i--) {
                claims.put(in.readString(), new Claim(in.readDouble(), in.readDouble()));
            }
            return claims;
        }

        private static Map<String, Integer> counts(Input in) {
            Map<String, Integer> counts = new HashMap<>();
            for (int i = entries(in); i > 0; i--) {
                counts.put(in.readString(), in.readVarInt(true));
            }
            return counts;
        }

        private static int entries(Input in) {
            int n = in.readVarInt(true);
            if (n < 0 || n > Tuning.MOST_HINT_ENTRIES) {
                throw new KryoException("too many entries");
            }
            return n;
        }
    }
}

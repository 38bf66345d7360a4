package org.shoreusher.peer;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
import org.shoreusher.standby.AttemptTable.Checksum;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogRecord;
import org.shoreusher.standby.LogRecord.AttemptEnded;
import org.shoreusher.standby.LogRecord.AttemptStarted;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.VerifyChecksum;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbyMessage;

/**
 * Encodes and decodes standby messages. They begin with a marker byte that no gossip message begins
 * with: gossip has its sender's name there, and the marker is Kryo's encoding of a null string. A
 * version without the standby feature closes the connection on it.
 */
final class StandbyCodec {
    /** Kryo's encoding of a null string, and the first byte of no other string. */
    private static final byte STANDBY_MARKER = (byte) 0x80;

    /** Version of the format that follows; messages of any other version are rejected. */
    private static final int FORMAT_VERSION = 1;

    private static final int FRAME = 1;
    private static final int ACKNOWLEDGEMENT = 2;

    private static final int SNAPSHOT_BEGIN = 1;
    private static final int STARTED = 2;
    private static final int ENDED = 3;
    private static final int SNAPSHOT_END = 4;
    private static final int CHECKED = 5;

    private StandbyCodec() {}

    /** Whether a message with this first byte is a standby message. */
    static boolean startsStandbyMessage(byte first) {
        return first == STANDBY_MARKER;
    }

    /** Encodes a message. */
    static byte[] encode(StandbyMessage message) {
        Output output =
                new Output(
                        PeerConstants.PEER_MESSAGE_BUFFER_BYTES,
                        PeerConstants.MAX_PEER_MESSAGE_BYTES);
        output.writeByte(STANDBY_MARKER);
        output.writeByte(FORMAT_VERSION);
        if (message instanceof LogFrame frame) {
            output.writeByte(FRAME);
            writeStream(output, frame.stream());
            output.writeVarLong(frame.firstSequenceNumber(), true);
            writeRecords(output, frame.records());
        } else if (message instanceof LogAcknowledgement acknowledgement) {
            output.writeByte(ACKNOWLEDGEMENT);
            writeStream(output, acknowledgement.stream());
            output.writeVarLong(acknowledgement.lastAppliedSequenceNumber(), true);
            output.writeBoolean(acknowledgement.accepted());
        }
        return output.toBytes();
    }

    /** Decodes a message; null if the bytes are not a valid one of this version. */
    static StandbyMessage decode(byte[] bytes) {
        try {
            Input input = new Input(bytes);
            if (input.readByte() != STANDBY_MARKER || input.readByte() != FORMAT_VERSION) {
                return null;
            }
            int kind = input.readByte();
            LogStream stream = readStream(input);
            long sequence = input.readVarLong(true);
            StandbyMessage message =
                    switch (kind) {
                        case FRAME -> new LogFrame(stream, sequence, readRecords(input));
                        case ACKNOWLEDGEMENT ->
                                new LogAcknowledgement(stream, sequence, input.readBoolean());
                        default -> throw new KryoException("unknown kind of message " + kind);
                    };
            return input.end() ? message : null;
        } catch (KryoException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    private static void writeStream(Output output, LogStream stream) {
        output.writeVarInt(stream.shardNumber(), true);
        output.writeVarLong(stream.term(), true);
        output.writeString(stream.leader());
        output.writeString(stream.standby());
        output.writeVarLong(stream.attachmentNumber(), true);
    }

    private static LogStream readStream(Input input) {
        return new LogStream(
                input.readVarInt(true),
                input.readVarLong(true),
                readText(input),
                readText(input),
                input.readVarLong(true));
    }

    private static String readText(Input input) {
        String text = input.readString();
        if (text == null) {
            throw new KryoException("a text is missing");
        }
        return text;
    }

    // ---- records -----------------------------------------------------------------------------

    /** Encodes names of jobs, machines and teams once in a frame; records refer to their index. */
    private static void writeRecords(Output output, List<LogRecord> records) {
        Object2IntOpenHashMap<String> nameIndexes = new Object2IntOpenHashMap<>();
        List<String> names = new ArrayList<>();
        for (LogRecord record : records) {
            if (record instanceof AttemptStarted started) {
                addName(nameIndexes, names, started.attempt().id().jobId());
                addName(nameIndexes, names, started.attempt().machineId());
                addName(nameIndexes, names, started.attempt().team());
            } else if (record instanceof AttemptEnded ended) {
                addName(nameIndexes, names, ended.id().jobId());
            }
        }
        output.writeVarInt(names.size(), true);
        names.forEach(output::writeString);
        output.writeVarInt(records.size(), true);
        records.forEach(record -> writeRecord(output, nameIndexes, record));
    }

    private static void addName(
            Object2IntOpenHashMap<String> nameIndexes, List<String> names, String name) {
        if (!nameIndexes.containsKey(name)) {
            nameIndexes.put(name, names.size());
            names.add(name);
        }
    }

    private static void writeRecord(
            Output output, Object2IntOpenHashMap<String> nameIndexes, LogRecord record) {
        if (record instanceof SnapshotBegin) {
            output.writeByte(SNAPSHOT_BEGIN);
        } else if (record instanceof AttemptStarted started) {
            Attempt attempt = started.attempt();
            output.writeByte(STARTED);
            writeId(output, nameIndexes, attempt.id());
            output.writeVarInt(nameIndexes.getInt(attempt.machineId()), true);
            output.writeVarInt(nameIndexes.getInt(attempt.team()), true);
            output.writeDouble(attempt.cpus());
            output.writeDouble(attempt.gpus());
            output.writeDouble(attempt.memGb());
        } else if (record instanceof AttemptEnded ended) {
            output.writeByte(ENDED);
            writeId(output, nameIndexes, ended.id());
        } else if (record instanceof SnapshotEnd end) {
            output.writeByte(SNAPSHOT_END);
            writeCheckpoint(output, end.checksum());
        } else if (record instanceof VerifyChecksum checked) {
            output.writeByte(CHECKED);
            writeCheckpoint(output, checked.checksum());
        }
    }

    private static void writeId(
            Output output, Object2IntOpenHashMap<String> nameIndexes, AttemptId id) {
        output.writeVarInt(nameIndexes.getInt(id.jobId()), true);
        output.writeVarInt(id.taskIndex(), true);
        output.writeVarLong(id.attemptNumber(), true);
    }

    private static void writeCheckpoint(Output output, Checksum checkpoint) {
        output.writeLong(checkpoint.digest());
        output.writeVarInt(checkpoint.size(), true);
    }

    private static List<LogRecord> readRecords(Input input) {
        List<String> names = new ArrayList<>();
        for (int i = readEntryCount(input); i > 0; i--) {
            names.add(readText(input));
        }
        List<LogRecord> records = new ArrayList<>();
        for (int i = readEntryCount(input); i > 0; i--) {
            records.add(readRecord(input, names));
        }
        return records;
    }

    private static LogRecord readRecord(Input input, List<String> names) {
        int kind = input.readByte();
        return switch (kind) {
            case SNAPSHOT_BEGIN -> new SnapshotBegin();
            case STARTED -> new AttemptStarted(readAttempt(input, names));
            case ENDED -> new AttemptEnded(readId(input, names));
            case SNAPSHOT_END -> new SnapshotEnd(readCheckpoint(input));
            case CHECKED -> new VerifyChecksum(readCheckpoint(input));
            default -> throw new KryoException("unknown kind of record " + kind);
        };
    }

    private static Attempt readAttempt(Input input, List<String> names) {
        return new Attempt(
                readId(input, names),
                names.get(input.readVarInt(true)),
                names.get(input.readVarInt(true)),
                input.readDouble(),
                input.readDouble(),
                input.readDouble());
    }

    private static AttemptId readId(Input input, List<String> names) {
        return new AttemptId(
                names.get(input.readVarInt(true)), input.readVarInt(true), input.readVarLong(true));
    }

    private static Checksum readCheckpoint(Input input) {
        return new Checksum(input.readLong(), input.readVarInt(true));
    }

    private static int readEntryCount(Input input) {
        int count = input.readVarInt(true);
        if (count < 0 || count > PeerConstants.MAX_PEER_MESSAGE_ENTRIES) {
            throw new KryoException("too many entries");
        }
        return count;
    }
}

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
 * Encodes and decodes standby messages. They begin with a marker byte that distinguishes them from
 * gossip: a gossip message begins with the host of its sender, and the marker is Kryo's encoding of
 * a null string. A version without the standby feature closes the connection on this byte.
 */
final class StandbyCodec {
    /** Kryo's encoding of a null string. No other string begins with this byte. */
    private static final byte STANDBY_MARKER = (byte) 0x80;

    /** The version of the format, sent after the marker; other versions are rejected. */
    private static final int FORMAT_VERSION = 1;

    /** Kryo's option for integers of variable length that are rarely negative. */
    private static final boolean OPTIMIZE_POSITIVE = true;

    private static final int LOG_FRAME = 1;
    private static final int LOG_ACKNOWLEDGEMENT = 2;

    private static final int SNAPSHOT_BEGIN = 1;
    private static final int ATTEMPT_STARTED = 2;
    private static final int ATTEMPT_ENDED = 3;
    private static final int SNAPSHOT_END = 4;
    private static final int VERIFY_CHECKSUM = 5;

    private StandbyCodec() {}

    /** Whether a message with this first byte is a standby message. */
    static boolean startsStandbyMessage(byte first) {
        return first == STANDBY_MARKER;
    }

    /** Encodes a message of at most {@link PeerConstants#MAX_PEER_MESSAGE_BYTES}. */
    static byte[] encode(StandbyMessage message) {
        Output output =
                new Output(
                        PeerConstants.PEER_MESSAGE_BUFFER_BYTES,
                        PeerConstants.MAX_PEER_MESSAGE_BYTES);
        output.writeByte(STANDBY_MARKER);
        output.writeByte(FORMAT_VERSION);
        if (message instanceof LogFrame frame) {
            output.writeByte(LOG_FRAME);
            writeStream(output, frame.stream());
            output.writeVarLong(frame.firstSequenceNumber(), OPTIMIZE_POSITIVE);
            writeRecords(output, frame.records());
        } else if (message instanceof LogAcknowledgement acknowledgement) {
            output.writeByte(LOG_ACKNOWLEDGEMENT);
            writeStream(output, acknowledgement.stream());
            output.writeVarLong(acknowledgement.lastAppliedSequenceNumber(), OPTIMIZE_POSITIVE);
            output.writeBoolean(acknowledgement.accepted());
        }
        return output.toBytes();
    }

    /** Decodes a message; null if the bytes are not a valid message of this format version. */
    static StandbyMessage decode(byte[] bytes) {
        try {
            Input input = new Input(bytes);
            if (input.readByte() != STANDBY_MARKER || input.readByte() != FORMAT_VERSION) {
                return null;
            }
            int kind = input.readByte();
            LogStream stream = readStream(input);
            long sequenceNumber = input.readVarLong(OPTIMIZE_POSITIVE);
            StandbyMessage message =
                    switch (kind) {
                        case LOG_FRAME -> new LogFrame(stream, sequenceNumber, readRecords(input));
                        case LOG_ACKNOWLEDGEMENT ->
                                new LogAcknowledgement(stream, sequenceNumber, input.readBoolean());
                        default ->
                                throw new KryoException(
                                        "the kind of a standby message must be 1 or 2, but is "
                                                + kind);
                    };
            return input.end() ? message : null;
        } catch (KryoException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    private static void writeStream(Output output, LogStream stream) {
        output.writeVarInt(stream.shardNumber(), OPTIMIZE_POSITIVE);
        output.writeVarLong(stream.term(), OPTIMIZE_POSITIVE);
        output.writeString(stream.leader());
        output.writeString(stream.standby());
        output.writeVarLong(stream.streamNumber(), OPTIMIZE_POSITIVE);
    }

    private static LogStream readStream(Input input) {
        return new LogStream(
                input.readVarInt(OPTIMIZE_POSITIVE),
                input.readVarLong(OPTIMIZE_POSITIVE),
                readText(input),
                readText(input),
                input.readVarLong(OPTIMIZE_POSITIVE));
    }

    private static String readText(Input input) {
        String text = input.readString();
        if (text == null) {
            throw new KryoException("a text of a standby message must not be null");
        }
        return text;
    }

    /** Encodes each job, machine and team name once per frame; records contain their indexes. */
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
        output.writeVarInt(names.size(), OPTIMIZE_POSITIVE);
        names.forEach(output::writeString);
        output.writeVarInt(records.size(), OPTIMIZE_POSITIVE);
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
            output.writeByte(ATTEMPT_STARTED);
            writeId(output, nameIndexes, attempt.id());
            output.writeVarInt(nameIndexes.getInt(attempt.machineId()), OPTIMIZE_POSITIVE);
            output.writeVarInt(nameIndexes.getInt(attempt.team()), OPTIMIZE_POSITIVE);
            output.writeDouble(attempt.cpus());
            output.writeDouble(attempt.gpus());
            output.writeDouble(attempt.memGb());
        } else if (record instanceof AttemptEnded ended) {
            output.writeByte(ATTEMPT_ENDED);
            writeId(output, nameIndexes, ended.id());
        } else if (record instanceof SnapshotEnd end) {
            output.writeByte(SNAPSHOT_END);
            writeChecksum(output, end.checksum());
        } else if (record instanceof VerifyChecksum verification) {
            output.writeByte(VERIFY_CHECKSUM);
            writeChecksum(output, verification.checksum());
        }
    }

    private static void writeId(
            Output output, Object2IntOpenHashMap<String> nameIndexes, AttemptId id) {
        output.writeVarInt(nameIndexes.getInt(id.jobId()), OPTIMIZE_POSITIVE);
        output.writeVarInt(id.taskIndex(), OPTIMIZE_POSITIVE);
        output.writeVarLong(id.attemptNumber(), OPTIMIZE_POSITIVE);
    }

    private static void writeChecksum(Output output, Checksum checksum) {
        output.writeLong(checksum.digest());
        output.writeVarInt(checksum.size(), OPTIMIZE_POSITIVE);
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
            case ATTEMPT_STARTED -> new AttemptStarted(readAttempt(input, names));
            case ATTEMPT_ENDED -> new AttemptEnded(readId(input, names));
            case SNAPSHOT_END -> new SnapshotEnd(readChecksum(input));
            case VERIFY_CHECKSUM -> new VerifyChecksum(readChecksum(input));
            default ->
                    throw new KryoException(
                            "the kind of a log record must be 1 to 5, but is " + kind);
        };
    }

    private static Attempt readAttempt(Input input, List<String> names) {
        return new Attempt(
                readId(input, names),
                names.get(input.readVarInt(OPTIMIZE_POSITIVE)),
                names.get(input.readVarInt(OPTIMIZE_POSITIVE)),
                input.readDouble(),
                input.readDouble(),
                input.readDouble());
    }

    private static AttemptId readId(Input input, List<String> names) {
        return new AttemptId(
                names.get(input.readVarInt(OPTIMIZE_POSITIVE)),
                input.readVarInt(OPTIMIZE_POSITIVE),
                input.readVarLong(OPTIMIZE_POSITIVE));
    }

    private static Checksum readChecksum(Input input) {
        return new Checksum(input.readLong(), input.readVarInt(OPTIMIZE_POSITIVE));
    }

    private static int readEntryCount(Input input) {
        int count = input.readVarInt(OPTIMIZE_POSITIVE);
        if (count < 0 || count > PeerConstants.MAX_PEER_MESSAGE_ENTRIES) {
            throw new KryoException(
                    "a list of a standby message must have 0 to "
                            + PeerConstants.MAX_PEER_MESSAGE_ENTRIES
                            + " entries, but has "
                            + count);
        }
        return count;
    }
}

package org.shoreusher.peer;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.settings.Tuning;
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
    private static final byte MARK = (byte) 0x80;

    /** Version of the format that follows; messages of any other version are rejected. */
    private static final int FORM = 1;

    private static final int FRAME = 1;
    private static final int ACKNOWLEDGEMENT = 2;

    private static final int SNAPSHOT_BEGIN = 1;
    private static final int STARTED = 2;
    private static final int ENDED = 3;
    private static final int SNAPSHOT_END = 4;
    private static final int CHECKED = 5;

    private StandbyCodec() {}

    /** Whether a message with this first byte is a standby message. */
    static boolean marks(byte first) {
        return first == MARK;
    }

    /** Encodes a message. */
    static byte[] write(StandbyMessage message) {
        Output out = new Output(Tuning.HINT_BUFFER, Tuning.MAX_HINT);
        out.writeByte(MARK);
        out.writeByte(FORM);
        if (message instanceof LogFrame frame) {
            out.writeByte(FRAME);
            writeStream(out, frame.stream());
            out.writeVarLong(frame.firstSequenceNumber(), true);
            writeRecords(out, frame.records());
        } else if (message instanceof LogAcknowledgement answer) {
            out.writeByte(ACKNOWLEDGEMENT);
            writeStream(out, answer.stream());
            out.writeVarLong(answer.lastAppliedSequenceNumber(), true);
            out.writeBoolean(answer.accepted());
        }
        return out.toBytes();
    }

    /** Decodes a message; null if the bytes are not a valid one of this version. */
    static StandbyMessage read(byte[] bytes) {
        try {
            Input in = new Input(bytes);
            if (in.readByte() != MARK || in.readByte() != FORM) {
                return null;
            }
            int kind = in.readByte();
            LogStream stream = readStream(in);
            long sequence = in.readVarLong(true);
            StandbyMessage message =
                    switch (kind) {
                        case FRAME -> new LogFrame(stream, sequence, readRecords(in));
                        case ACKNOWLEDGEMENT ->
                                new LogAcknowledgement(stream, sequence, in.readBoolean());
                        default -> throw new KryoException("unknown kind of message " + kind);
                    };
            return in.end() ? message : null;
        } catch (KryoException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    private static void writeStream(Output out, LogStream stream) {
        out.writeVarInt(stream.shardNumber(), true);
        out.writeVarLong(stream.term(), true);
        out.writeString(stream.leader());
        out.writeString(stream.standby());
        out.writeVarLong(stream.attachmentNumber(), true);
    }

    private static LogStream readStream(Input in) {
        return new LogStream(
                in.readVarInt(true),
                in.readVarLong(true),
                text(in),
                text(in),
                in.readVarLong(true));
    }

    private static String text(Input in) {
        String text = in.readString();
        if (text == null) {
            throw new KryoException("a text is missing");
        }
        return text;
    }

    // ---- records -----------------------------------------------------------------------------

    /** Encodes names of jobs, machines and teams once in a frame; records refer to their index. */
    private static void writeRecords(Output out, List<LogRecord> records) {
        Object2IntOpenHashMap<String> numbers = new Object2IntOpenHashMap<>();
        List<String> names = new ArrayList<>();
        for (LogRecord record : records) {
            if (record instanceof AttemptStarted started) {
                number(numbers, names, started.attempt().id().jobId());
                number(numbers, names, started.attempt().machineId());
                number(numbers, names, started.attempt().team());
            } else if (record instanceof AttemptEnded ended) {
                number(numbers, names, ended.id().jobId());
            }
        }
        out.writeVarInt(names.size(), true);
        names.forEach(out::writeString);
        out.writeVarInt(records.size(), true);
        records.forEach(record -> writeRecord(out, numbers, record));
    }

    private static void number(
            Object2IntOpenHashMap<String> numbers, List<String> names, String name) {
        if (!numbers.containsKey(name)) {
            numbers.put(name, names.size());
            names.add(name);
        }
    }

    private static void writeRecord(
            Output out, Object2IntOpenHashMap<String> numbers, LogRecord record) {
        if (record instanceof SnapshotBegin) {
            out.writeByte(SNAPSHOT_BEGIN);
        } else if (record instanceof AttemptStarted started) {
            Attempt attempt = started.attempt();
            out.writeByte(STARTED);
            writeId(out, numbers, attempt.id());
            out.writeVarInt(numbers.getInt(attempt.machineId()), true);
            out.writeVarInt(numbers.getInt(attempt.team()), true);
            out.writeDouble(attempt.cpus());
            out.writeDouble(attempt.gpus());
            out.writeDouble(attempt.memGb());
        } else if (record instanceof AttemptEnded ended) {
            out.writeByte(ENDED);
            writeId(out, numbers, ended.id());
        } else if (record instanceof SnapshotEnd end) {
            out.writeByte(SNAPSHOT_END);
            writeCheckpoint(out, end.checksum());
        } else if (record instanceof VerifyChecksum checked) {
            out.writeByte(CHECKED);
            writeCheckpoint(out, checked.checksum());
        }
    }

    private static void writeId(Output out, Object2IntOpenHashMap<String> numbers, AttemptId id) {
        out.writeVarInt(numbers.getInt(id.jobId()), true);
        out.writeVarInt(id.taskIndex(), true);
        out.writeVarLong(id.attemptNumber(), true);
    }

    private static void writeCheckpoint(Output out, Checksum checkpoint) {
        out.writeLong(checkpoint.digest());
        out.writeVarInt(checkpoint.size(), true);
    }

    private static List<LogRecord> readRecords(Input in) {
        List<String> names = new ArrayList<>();
        for (int i = count(in); i > 0; i--) {
            names.add(text(in));
        }
        List<LogRecord> records = new ArrayList<>();
        for (int i = count(in); i > 0; i--) {
            records.add(readRecord(in, names));
        }
        return records;
    }

    private static LogRecord readRecord(Input in, List<String> names) {
        int kind = in.readByte();
        return switch (kind) {
            case SNAPSHOT_BEGIN -> new SnapshotBegin();
            case STARTED -> new AttemptStarted(readAttempt(in, names));
            case ENDED -> new AttemptEnded(readId(in, names));
            case SNAPSHOT_END -> new SnapshotEnd(readCheckpoint(in));
            case CHECKED -> new VerifyChecksum(readCheckpoint(in));
            default -> throw new KryoException("unknown kind of record " + kind);
        };
    }

    private static Attempt readAttempt(Input in, List<String> names) {
        return new Attempt(
                readId(in, names),
                names.get(in.readVarInt(true)),
                names.get(in.readVarInt(true)),
                in.readDouble(),
                in.readDouble(),
                in.readDouble());
    }

    private static AttemptId readId(Input in, List<String> names) {
        return new AttemptId(
                names.get(in.readVarInt(true)), in.readVarInt(true), in.readVarLong(true));
    }

    private static Checksum readCheckpoint(Input in) {
        return new Checksum(in.readLong(), in.readVarInt(true));
    }

    private static int count(Input in) {
        int count = in.readVarInt(true);
        if (count < 0 || count > Tuning.MOST_HINT_ENTRIES) {
            throw new KryoException("too many entries");
        }
        return count;
    }
}

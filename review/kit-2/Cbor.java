import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR as the protocol uses it: maps keyed by text, lists, text, numbers, booleans and null. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n >= 0 && n < 24) {
            out.write(m | (int) n);
        } else if (n >= 0 && n < 256) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n >= 0 && n < 65536) {
            out.write(m | 25);
            out.write((int) (n >> 8));
            out.write((int) n);
        } else if (n >= 0 && n < (1L << 32)) {
            out.write(m | 26);
            for (int s = 24; s >= 0; s -= 8) {
                out.write((int) (n >> s));
            }
        } else {
            out.write(m | 27);
            for (int s = 56; s >= 0; s -= 8) {
                out.write((int) (n >> s));
            }
        }
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) {
            out.write(0xf6);
        } else if (v instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (v instanceof Long || v instanceof Integer) {
            long n = ((Number) v).longValue();
            if (n >= 0) {
                head(out, 0, n);
            } else {
                head(out, 1, -1 - n);
            }
        } else if (v instanceof Double d) {
            out.write(0xfb);
            long bits = Double.doubleToLongBits(d);
            for (int s = 56; s >= 0; s -= 8) {
                out.write((int) (bits >> s));
            }
        } else if (v instanceof String s) {
            byte[] b = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, b.length);
            out.writeBytes(b);
        } else if (v instanceof List<?> l) {
            head(out, 4, l.size());
            l.forEach(e -> write(out, e));
        } else if (v instanceof Map<?, ?> m) {
            head(out, 5, m.size());
            m.forEach(
                    (k, e) -> {
                        write(out, k);
                        write(out, e);
                    });
        } else {
            throw new IllegalArgumentException("cannot encode " + v.getClass());
        }
    }

    static Map<String, Object> decodeMap(byte[] bytes) {
        if (bytes.length == 0) {
            return new LinkedHashMap<>();
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) read(ByteBuffer.wrap(bytes));
        return map;
    }

    private static final Object BREAK = new Object();

    private static Object read(ByteBuffer in) {
        int head = in.get() & 0xff;
        int major = head >> 5;
        int info = head & 31;
        if (head == 0xff) {
            return BREAK;
        }
        if (major == 7) {
            switch (info) {
                case 20:
                    return false;
                case 21:
                    return true;
                case 22:
                case 23:
                    return null;
                case 25:
                    return half(in.getShort() & 0xffff);
                case 26:
                    return (double) in.getFloat();
                case 27:
                    return in.getDouble();
                default:
                    throw new IllegalArgumentException("simple value " + info);
            }
        }
        long n =
                switch (info) {
                    case 24 -> in.get() & 0xff;
                    case 25 -> in.getShort() & 0xffff;
                    case 26 -> in.getInt() & 0xffffffffL;
                    case 27 -> in.getLong();
                    case 31 -> -1;
                    default -> info;
                };
        switch (major) {
            case 0:
                return n < 0 ? (Object) new BigInteger(Long.toUnsignedString(n)) : (Object) n;
            case 1:
                return -1 - n;
            case 3: {
                if (info == 31) {
                    StringBuilder text = new StringBuilder();
                    for (Object c = read(in); c != BREAK; c = read(in)) {
                        text.append(c);
                    }
                    return text.toString();
                }
                byte[] b = new byte[(int) n];
                in.get(b);
                return new String(b, StandardCharsets.UTF_8);
            }
            case 4: {
                List<Object> list = new ArrayList<>();
                for (long i = 0; info == 31 || i < n; i++) {
                    Object e = read(in);
                    if (e == BREAK) {
                        break;
                    }
                    list.add(e);
                }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; info == 31 || i < n; i++) {
                    Object k = read(in);
                    if (k == BREAK) {
                        break;
                    }
                    map.put((String) k, read(in));
                }
                return map;
            }
            default:
                throw new IllegalArgumentException("major type " + major);
        }
    }

    private static double half(int bits) {
        int exp = (bits >> 10) & 31;
        int mant = bits & 1023;
        double v =
                exp == 0
                        ? mant * Math.pow(2, -24)
                        : exp == 31
                                ? (mant == 0 ? Double.POSITIVE_INFINITY : Double.NaN)
                                : (mant + 1024) * Math.pow(2, exp - 25);
        return (bits & 0x8000) != 0 ? -v : v;
    }

    /** The length in bytes of a value as JSON, in which the protocol counts its size limits. */
    static int jsonLength(Object v) {
        if (v == null) {
            return 4;
        }
        if (v instanceof String s) {
            int n = 2;
            for (byte b : s.getBytes(StandardCharsets.UTF_8)) {
                n += b == '"' || b == '\\' ? 2 : 1;
            }
            return n;
        }
        if (v instanceof List<?> l) {
            int n = 2 + Math.max(0, l.size() - 1);
            for (Object e : l) {
                n += jsonLength(e);
            }
            return n;
        }
        if (v instanceof Map<?, ?> m) {
            int n = 2 + Math.max(0, m.size() - 1);
            for (Map.Entry<?, ?> e : m.entrySet()) {
                n += jsonLength(e.getKey()) + 1 + jsonLength(e.getValue());
            }
            return n;
        }
        return String.valueOf(v).length();
    }
}

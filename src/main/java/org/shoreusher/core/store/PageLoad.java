package org.shoreusher.core.store;

import java.util.SortedMap;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * One load of the whole store, page by page. The pages are read at different revisions, so changes
 * after the revision of the first page may be missing. A watch that starts at that revision then
 * reads those changes.
 */
final class PageLoad {
    private final TreeMap<String, StoreCache.Entry> entries = new TreeMap<>();

    private String lastKey;

    private long firstRevision;
    private long lastRevision;

    /**
     * Returns the last key of the last page, after which the next one starts; null before the
     * first.
     */
    String lastKey() {
        return lastKey;
    }

    long firstRevision() {
        return firstRevision;
    }

    long lastRevision() {
        return lastRevision;
    }

    SortedMap<String, StoreCache.Entry> entries() {
        return entries;
    }

    /** Adds a page, and returns whether it was the last one. */
    boolean add(FieldMap page) throws FieldMap.InvalidFieldException {
        lastRevision = StoreFormat.readRevision(page);
        if (lastKey == null) {
            firstRevision = lastRevision;
        }
        for (StoreFormat.Entry entry : StoreFormat.readPage(page)) {
            entries.put(entry.key(), new StoreCache.Entry(entry.value(), entry.version()));
            lastKey = entry.key();
        }
        // Without any key so far there is none after which a next page could start.
        return !StoreFormat.hasMorePages(page) || lastKey == null;
    }
}

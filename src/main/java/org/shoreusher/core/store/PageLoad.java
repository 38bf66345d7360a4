package org.shoreusher.core.store;

import java.util.SortedMap;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * One load of the whole store, page by page. The pages are read at different revisions: changes
 * after the first page's revision may be missing, and are read by watching from there on.
 */
final class PageLoad {
    private final TreeMap<String, StoreCache.Entry> entries = new TreeMap<>();

    /** The last key of the last page; null before the first page. */
    private String lastKey;

    private long firstRevision;
    private long lastRevision;

    /** The last key of the last page, after which the next one starts; null before the first. */
    String lastKey() {
        return lastKey;
    }

    /** The revision of the first page. */
    long firstRevision() {
        return firstRevision;
    }

    /** The revision of the last page. */
    long lastRevision() {
        return lastRevision;
    }

    /** The entries of all pages, by key. */
    SortedMap<String, StoreCache.Entry> entries() {
        return entries;
    }

    /** Adds a page; returns whether it was the last one. */
    boolean add(FieldMap page) throws FieldMap.InvalidFieldException {
        lastRevision = StoreFormat.readRevision(page);
        if (lastKey == null) {
            firstRevision = lastRevision;
        }
        for (StoreFormat.Entry entry : StoreFormat.readPage(page)) {
            entries.put(entry.key(), new StoreCache.Entry(entry.value(), entry.version()));
            lastKey = entry.key();
        }
        return !StoreFormat.hasMorePages(page) || lastKey == null;
    }
}

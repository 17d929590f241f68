/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.port;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.lupinpaddle.daemon.common.Log;

/**
 * Reads a prefix page by page. What has been read is kept: a page whose answer was retryable is asked for again by itself, so
 * that a long read over a poor connection comes to an end.
 */
final class PageReader {

    // A page is bounded by the time in which nothing of it arrives, so the next try is not likelier to fail; three
    // retryable
    // in a row speak against the store or the link.
    private static final int MAX_ATTEMPTS = 3;

    private final KeyValueStore store;
    private final String prefix;
    private final Runnable onPage;
    private final List<StoreItem> items = new ArrayList<>();
    private long revision;

    PageReader(KeyValueStore store, String prefix, Runnable onPage) {
        this.store = store;
        this.prefix = prefix;
        this.onPage = onPage;
    }

    /** Reads all pages; the future ends exceptionally when one of them can not be had. */
    CompletableFuture<StoreRange> read() {
        return page(1);
    }

    private CompletableFuture<StoreRange> page(int attempt) {
        String after = items.isEmpty() ? "" : items.get(items.size() - 1).key();
        return store.page(prefix, after)
                .handle((p, why) -> why == null ? onPageRead(p) : onFailure(why, attempt))
                .thenCompose(next -> next);
    }

    private CompletableFuture<StoreRange> onPageRead(StorePage p) {
        onPage.run();
        // A watch from the first page's revision shows what has changed on any page since.
        revision = items.isEmpty() ? p.revision() : revision;
        items.addAll(p.items());
        return p.more() && !p.items().isEmpty()
                ? page(1)
                : CompletableFuture.completedFuture(new StoreRange(items, revision));
    }

    private CompletableFuture<StoreRange> onFailure(Throwable why, int attempt) {
        Throwable cause = why instanceof CompletionException && why.getCause() != null ? why.getCause() : why;
        // A refusal says that the store is busy or the rate used up for a moment: nothing that was read is wrong.
        boolean retryable = cause instanceof StoreException e && e.kind() != StoreException.Kind.HISTORY_GONE;
        // Before the first page there is nothing to keep: whoever reads decides when to begin again.
        if (items.isEmpty() || !retryable || attempt >= MAX_ATTEMPTS) {
            return CompletableFuture.failedFuture(cause);
        }
        Log.info("page-asked-again", "prefix", prefix, "items", items.size(), "attempt", attempt, "why", cause);
        return page(attempt + 1);
    }
}

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
 * Reads the items under a prefix page by page. Pages already read are kept: if the answer to a page is lost, only
 * that page is requested again, so a long read completes even over a poor connection.
 */
final class PageReader {

    // A page times out only when no data arrives, so a repeated request is not more likely to fail. Three failures in
    // a row indicate a fault of the store or the link.
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

    /** Reads all pages; the future completes exceptionally if a page cannot be read. */
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
        // A watch from the first page's revision reports every change made since to any page.
        revision = items.isEmpty() ? p.revision() : revision;
        items.addAll(p.items());
        return p.more() && !p.items().isEmpty()
                ? page(1)
                : CompletableFuture.completedFuture(new StoreRange(items, revision));
    }

    private CompletableFuture<StoreRange> onFailure(Throwable why, int attempt) {
        Throwable cause = why instanceof CompletionException && why.getCause() != null ? why.getCause() : why;
        // A refusal means that the store is busy or its rate limit is exceeded for a moment; the pages already read
        // remain valid.
        boolean retryable = cause instanceof StoreException e && e.kind() != StoreException.Kind.HISTORY_GONE;
        // Before the first page there is nothing to keep; the caller decides when to start again.
        if (items.isEmpty() || !retryable || attempt >= MAX_ATTEMPTS) {
            return CompletableFuture.failedFuture(cause);
        }
        Log.info("page-asked-again", "prefix", prefix, "items", items.size(), "attempt", attempt, "why", cause);
        return page(attempt + 1);
    }
}

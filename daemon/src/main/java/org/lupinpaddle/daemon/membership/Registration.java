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
package org.lupinpaddle.daemon.membership;

import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.platform.Platform;
import org.lupinpaddle.daemon.platform.Platform.Swap;
import org.lupinpaddle.daemon.platform.StoreWriter;
import org.lupinpaddle.daemon.platform.WriteResult;

/**
 * Keeps this entry registered in the store: acquires a lease, writes the record with it, renews the lease and starts again
 * if it is lost. While the platform is down, the entry keeps serving without a registration. Retries follow each entry's own
 * timing, so that the entries do not reconnect all at the same moment.
 */
public final class Registration {

    private static final long RETRY_MILLIS = 1_500;
    private static final int KEEP_ALIVES_PER_TTL = 3;

    private final Platform platform;
    private final StoreWriter writer;
    private final EventLoop loop;
    private final EntryRecord self;
    private final long ttlSeconds;
    private long lease;
    private boolean registered;
    private boolean stopped;
    private long confirmedAt = Long.MIN_VALUE;

    /** Creates the registration of {@code self} with a lease of {@code ttlSeconds}. */
    public Registration(Platform platform, StoreWriter writer, EventLoop loop, EntryRecord self, long ttlSeconds) {
        this.platform = platform;
        this.writer = writer;
        this.loop = loop;
        this.self = self;
        this.ttlSeconds = ttlSeconds;
    }

    /** Starts the registration; must be called on the event loop. */
    public void start() {
        requestLease();
    }

    /** Returns the lease of this entry, or 0 if none is known to be valid. */
    public long validLease() {
        boolean fresh = loop.clock().millis() - confirmedAt < ttlSeconds * 1_000;
        return registered && fresh ? lease : 0;
    }

    /** Revokes the lease, so that others need not wait for it to expire. */
    public void stop() {
        stopped = true;
        registered = false;
        if (lease != 0) {
            var unused = platform.revoke(lease);
        }
    }

    private void requestLease() {
        if (stopped) {
            return;
        }
        registered = false;
        lease = 0;
        long requestedAt = loop.clock().millis();
        var unused = platform.grantLease(ttlSeconds)
                .whenComplete((id, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        loop.after(RETRY_MILLIS, this::requestLease);
                    } else {
                        lease = id;
                        confirmedAt = requestedAt;
                        findPreviousRecord();
                    }
                }));
    }

    // A killed process with the same name may have left its record, which stays until its lease expires.
    private void findPreviousRecord() {
        String key = StoreKeys.entry(self.id());
        var unused = platform.range(key, 0)
                .whenComplete((range, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        loop.after(RETRY_MILLIS, this::requestLease);
                        return;
                    }
                    long previousRevision = range.records().stream()
                            .filter(record -> record.key().equals(key))
                            .mapToLong(record -> record.revision())
                            .findFirst()
                            .orElse(0);
                    write(key, previousRevision);
                }));
    }

    private void write(String key, long expectedRevision) {
        Swap swap = new Swap(key, RecordCodec.write(self), expectedRevision, lease);
        writer.write(swap, self.writeId(), result -> {
            if (result.fate() != WriteResult.Fate.ACCEPTED) {
                loop.after(RETRY_MILLIS, this::requestLease);
                return;
            }
            registered = true;
            Log.info("registered", "entry", self.id(), "lease", lease, "ttl_s", ttlSeconds);
            loop.after(keepAliveMillis(), this::keepAlive);
        });
    }

    private long keepAliveMillis() {
        return ttlSeconds * 1_000 / KEEP_ALIVES_PER_TTL;
    }

    private void keepAlive() {
        if (stopped) {
            return;
        }
        long requestedAt = loop.clock().millis();
        var unused = platform.keepAlive(lease)
                .whenComplete((alive, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        loop.after(RETRY_MILLIS, this::keepAlive);
                    } else if (alive) {
                        confirmedAt = requestedAt;
                        loop.after(keepAliveMillis(), this::keepAlive);
                    } else {
                        Log.warn("lease-lost", "entry", self.id(), "lease", lease);
                        requestLease();
                    }
                }));
    }
}

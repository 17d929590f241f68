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
package org.lupinpaddle.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.run.MemoryUse;

/** Tests the limit on what the jobs of all entries take in memory. */
class JobMemoryTest {

    private static final long HEAP_BYTES = 128 << 20;
    private static final long HALF_FULL = HEAP_BYTES / 8;
    private static final long LEASE = 7;

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final PrefixWatch members =
            new PrefixWatch(store, loop, SchedulerKeys.MEMBERS, PrefixWatch.Listener.forAnyChange(() -> {}));
    private long lease = LEASE;
    private final JobMemory memory =
            new JobMemory(members, new RegistrationWriter(store, loop), "entry-1", () -> lease, HEAP_BYTES);

    @BeforeEach
    void startWatch() {
        members.start();
        loop.advance(10);
    }

    private void update(long jobBytes) {
        memory.update(new MemoryUse(1, jobBytes, 0, 0));
        loop.advance(10);
    }

    private void publishForOther(String value) {
        store.set(SchedulerKeys.jobBytes("entry-2"), value);
        store.notifyWatches();
        loop.advance(10);
    }

    private String published() {
        return store.value(SchedulerKeys.jobBytes("entry-1"));
    }

    /** Guards against entries each of which holds what it can, so that none can take over the services of another. */
    @Test
    void isFullWhenAllEntriesTogetherHoldWhatFitsIntoOne() {
        update(HALF_FULL);
        assertTrue(memory.hasRoom(true));
        publishForOther(Long.toString(HALF_FULL));
        assertFalse(memory.hasRoom(true));
    }

    @Test
    void hasRoomAgainWhenJobsAreOver() {
        update(2 * HALF_FULL);
        assertFalse(memory.hasRoom(true));
        update(0);
        assertTrue(memory.hasRoom(true));
    }

    @Test
    void keepsRoomForJobsThatAreDue() {
        update(HALF_FULL);
        assertTrue(memory.hasRoom(false));
        update(HALF_FULL + HALF_FULL / 2);
        assertFalse(memory.hasRoom(false));
        assertTrue(memory.hasRoom(true));
    }

    @Test
    void publishesItsJobsForTheOtherEntries() {
        update(HALF_FULL);
        assertEquals(Long.toString(HALF_FULL), published());
    }

    /** Guards against a write for each accepted job. */
    @Test
    void doesNotPublishSmallChanges() {
        update(HALF_FULL);
        int commits = store.commits;
        update(HALF_FULL + HALF_FULL / 100);
        update(HALF_FULL - HALF_FULL / 100);
        assertEquals(commits, store.commits);
    }

    @Test
    void publishesAgainUnderANewLease() {
        update(HALF_FULL);
        store.remove(SchedulerKeys.jobBytes("entry-1"));
        lease++;
        // The first write expects the removed record and learns that there is none.
        update(HALF_FULL);
        update(HALF_FULL);
        assertEquals(Long.toString(HALF_FULL), published());
    }

    @Test
    void publishesNothingWithoutALease() {
        lease = 0;
        update(HALF_FULL);
        assertEquals(0, store.commits);
    }

    /** Guards against a value of another writer that stops the acceptance of jobs. */
    @Test
    void ignoresAnUnreadableSize() {
        publishForOther("-5 MB");
        assertEquals(0, memory.totalBytes());
        assertTrue(memory.hasRoom(true));
    }

    /** Guards against a service that takes the tasks of all others of its owner. */
    @Test
    void sharesTasksAmongTheServicesOfAnEntry() {
        assertEquals(memory.maxTasksPerService(1) / 4, memory.maxTasksPerService(4));
        assertEquals(memory.maxTasksPerService(1), memory.maxTasksPerService(0));
    }
}

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

import com.codahale.metrics.Gauge;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lupinpaddle.core.common.Unreadable.Reason;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.daemon.port.StoreException;

/** Tests the view of cordoned halls that an entry gets from its watch of the operators' records. */
class CordonFeedTest {

    private static final long BOUND_MILLIS = 5_000;
    private static final long MAX_AGE_MILLIS = 3_300;
    // The time that a slow store takes to answer.
    private static final long SLOW_CALL_MILLIS = 250;
    private static final Set<String> HALLS = Set.of("north", "south");

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final FakeRecords records = new FakeRecords();
    private final JobMetrics meters = new JobMetrics();
    private final UnreadableEntries unreadable = new UnreadableEntries(meters);
    private final CordonRecords cordonRecords = new CordonRecords(records, HALLS);
    private final CordonFeed cordons = new CordonFeed(cordonRecords, unreadable, BOUND_MILLIS);
    private final ConfigurationFeed feed = new ConfigurationFeed(store, loop, records, unreadable, cordons, () -> {});

    private long cordon(String hall) {
        return store.set(FakeRecords.CORDONS + hall, "{}");
    }

    private void lift(String hall) {
        store.remove(FakeRecords.CORDONS + hall);
    }

    private void advance(long millis) {
        for (long left = millis; left > 0; left -= 50) {
            loop.advance(50);
            store.notifyWatches();
        }
        loop.advance(0);
    }

    private void startFeed() {
        feed.start();
        advance(200);
    }

    private HallCordons view() {
        return feed.cordons();
    }

    private boolean isCurrent() {
        return view().isCurrent(loop.clock().millis());
    }

    @Nested
    class ViewOfCordons {

        /** Guards against an entry that misses a cordon, or goes on without a hall whose cordon was lifted. */
        @Test
        void followsEachHall() {
            startFeed();
            assertFalse(view().isAnyCordoned());
            long revision = cordon("north");
            advance(50);
            assertEquals(new Cordon("north", revision), view().byHall().get("north"));
            assertFalse(feed.areAllHallsCordoned());
            cordon("south");
            advance(50);
            assertEquals(HALLS, view().halls());
            assertTrue(feed.areAllHallsCordoned());
            lift("north");
            advance(50);
            assertEquals(Set.of("south"), view().halls());
            lift("south");
            advance(50);
            assertFalse(view().isAnyCordoned());
        }

        /** Guards against taking a new request for the one before it. */
        @Test
        void hasTheRevisionOfTheNewestRequest() {
            startFeed();
            long first = cordon("north");
            advance(50);
            lift("north");
            long second = cordon("north");
            advance(50);
            assertTrue(second > first);
            assertEquals(new Cordon("north", second), view().byHall().get("north"));
        }

        /** Guards against starts by an entry that has not read the cordons yet. */
        @Test
        void isNotCurrentBeforeTheFirstRead() {
            cordon("north");
            assertFalse(isCurrent());
            startFeed();
            assertTrue(isCurrent());
            assertTrue(view().isCordoned("north"));
        }

        /** Guards against a cordon that is kept although its removal was in the discarded history. */
        @Test
        void isReadAgainWhenTheHistoryIsGone() {
            cordon("north");
            startFeed();
            store.mutedPrefix = records.operatorPrefix();
            lift("north");
            cordon("south");
            store.failWatches(StoreException.Kind.HISTORY_GONE);
            advance(50);
            assertEquals(Set.of("south"), view().halls());
            assertTrue(isCurrent());
        }
    }

    @Nested
    class CurrentView {

        /** Guards against starts during a cordon that an unanswered watch hides. */
        @Test
        void endsWithASilentWatch() {
            startFeed();
            store.mutedPrefix = records.operatorPrefix();
            cordon("north");
            cordon("south");
            advance(MAX_AGE_MILLIS - 200);
            assertTrue(isCurrent());
            advance(300);
            assertFalse(isCurrent());
            store.failWatches(StoreException.Kind.AWAY);
            advance(300);
            assertTrue(isCurrent());
            assertEquals(HALLS, view().halls());
        }

        /** Guards against trusting a view, also to reject submissions, while the store refuses this entry. */
        @Test
        void endsWhileTheStoreRefusesThisEntry() {
            cordon("north");
            cordon("south");
            startFeed();
            assertTrue(feed.areAllHallsCordoned());
            store.refusesPagesAndWatches = true;
            advance(MAX_AGE_MILLIS + 200);
            assertFalse(isCurrent());
            assertFalse(feed.areAllHallsCordoned());
            assertEquals(HALLS, view().halls(), "the last known cordons stay");
            lift("north");
            store.refusesPagesAndWatches = false;
            advance(300);
            assertTrue(isCurrent());
            assertEquals(Set.of("south"), view().halls());
        }

        /** Guards against starts after the bound, and against an idle watch that is answered too rarely. */
        @ParameterizedTest
        @ValueSource(longs = {2_400, 2_700, 4_499, 4_500, 5_000, 60_000})
        void fitsTheBound(long bound) {
            CordonFeed f = new CordonFeed(cordonRecords, unreadable, bound);
            long maxAge = f.view(0).maxAgeMillis();
            assertTrue(maxAge <= Math.min(MAX_AGE_MILLIS, bound - 1_200), () -> "maximum age " + maxAge);
            assertTrue(2 * (f.watchMillis() + SLOW_CALL_MILLIS) <= maxAge, () -> "waiting time " + f.watchMillis());
        }

        /** Guards against owners that start nothing without saying why, and against such lines of other entries. */
        @Test
        void isLoggedByOwnersOfServices() {
            assertTrue(cordons.logConfirmation(false, 0, MAX_AGE_MILLIS + 1), "the entry owns no service");
            assertTrue(cordons.logConfirmation(true, 0, MAX_AGE_MILLIS));
            assertFalse(cordons.logConfirmation(true, 0, MAX_AGE_MILLIS + 1));
            assertTrue(cordons.logConfirmation(true, 2_000, MAX_AGE_MILLIS + 1));
        }

        /** Guards against a watch that waits longer than a small bound allows, so that the view is rarely current. */
        @ParameterizedTest
        @ValueSource(longs = {2_400, BOUND_MILLIS})
        void usesTheWaitingTimeOfTheBound(long bound) {
            CordonFeed f = new CordonFeed(cordonRecords, unreadable, bound);
            new ConfigurationFeed(store, loop, records, unreadable, f, () -> {}).start();
            advance(50);
            assertTrue(store.calls.contains("watch operator/ " + f.watchMillis()), store.calls::toString);
        }
    }

    @Nested
    class UnreadableCordon {

        private List<UnreadableEntries.Entry> reported() {
            return unreadable.snapshot();
        }

        /** Guards against ignoring a request in force because its value, which has no meaning, is damaged. */
        @Test
        void withABadValueCordonsItsHall() {
            startFeed();
            store.setNonText(FakeRecords.CORDONS + "north");
            advance(50);
            assertTrue(view().isCordoned("north"));
            assertEquals(Reason.NOT_TEXT.whole(), reported().get(0).why());
            assertEquals(UnreadableEntries.Kind.CORDON, reported().get(0).kind());
            cordon("north");
            advance(50);
            assertTrue(view().isCordoned("north"));
            assertEquals(List.of(), reported());
        }

        /** Guards against a mistyped hall that goes unnoticed, or counts as a hall. */
        @Test
        void ofAnUnknownHallCordonsNothing() {
            startFeed();
            cordon("nroth");
            cordon("");
            advance(50);
            assertFalse(view().isAnyCordoned());
            assertEquals(
                    List.of(Reason.NOT_OF_ITS_KEY.in("key"), Reason.UNKNOWN_WORD.in("hall")),
                    reported().stream().map(UnreadableEntries.Entry::why).toList());
            lift("nroth");
            lift("");
            advance(50);
            assertEquals(List.of(), reported());
        }

        /** Guards against one report for each change of other records. */
        @Test
        void isReportedOnce() {
            startFeed();
            cordon("nroth");
            advance(50);
            cordon("north");
            advance(50);
            assertEquals(
                    1, meters.registry().counter("entries.unreadable.cordon").getCount());
        }

        /** Guards against losing the cordons of a deployment whose halls are not known. */
        @Test
        void cannotBeToldByItsHallWithoutAListOfHalls() {
            CordonFeed f = new CordonFeed(new CordonRecords(records, Set.of()), unreadable, BOUND_MILLIS);
            cordon("anywhere");
            store.page(records.operatorPrefix(), "").thenAccept(p -> f.update(p.items()));
            assertTrue(f.view(0).isCordoned("anywhere"));
            assertFalse(f.coversAllHalls(0, 0), "all halls are cordoned only where all are known");
        }

        @Test
        void isListedByTheOperatorsQuery() {
            cordon("nroth");
            store.setNonText(FakeRecords.CORDONS + "north");
            List<String> lines = new UnreadableEntriesQuery(store, records, Optional.of(cordonRecords))
                    .all()
                    .join();
            assertEquals(
                    List.of(
                            "operator/cordon/north  unreadable: not-text  revision 2",
                            "operator/cordon/nroth  unreadable: unknown-word:hall  revision 1"),
                    lines.stream().sorted().toList());
        }
    }

    @Nested
    class DeploymentWithoutCordons {

        private List<String> calls(NodeFixture entry) {
            entry.startServing("w1");
            entry.advance(3_000);
            entry.node.commandExecutor().run("job unreadable", "operator", r -> {});
            return entry.store.calls;
        }

        /** Sorts the calls, since a watch with another waiting time is repeated at another time. */
        private List<String> withoutWaitingTimes(List<String> calls) {
            return calls.stream()
                    .map(c -> c.replaceFirst("^(watch .*) [0-9]+$", "$1"))
                    .sorted()
                    .toList();
        }

        /** Guards against additional calls to the store, or other ones, where the settings name no cordons. */
        @Test
        void makesNoCallForThem() {
            List<String> calls = calls(new NodeFixture());
            assertEquals(
                    List.of(),
                    calls.stream()
                            .filter(c -> c.contains("operator/") && !c.contains("operator/configuration"))
                            .toList());
            assertTrue(calls.contains("watch operator/configuration 1500"), calls::toString);
        }

        /** Guards against a call of its own for cordons, also where a deployment has them. */
        @Test
        void makesAsManyCallsAsOneWithCordons() {
            List<String> with = calls(new NodeFixture(BOUND_MILLIS, HALLS));
            assertTrue(with.remove("page operator/cordon/"), "only the operators' query reads cordons apart");
            assertEquals(
                    withoutWaitingTimes(calls(new NodeFixture())),
                    withoutWaitingTimes(with.stream()
                            .map(c -> c.replaceFirst("operator/( |$)", "operator/configuration$1"))
                            .toList()));
        }

        @Test
        void isAlwaysCurrentAndHasNoGauges() {
            NodeFixture entry = new NodeFixture();
            assertFalse(entry.meters.registry().getGauges().containsKey("cordons.halls"));
            CordonFeed f = new CordonFeed(cordonRecords, unreadable, 0);
            assertEquals(HallCordons.DISABLED, f.view(0));
        }
    }

    /** Guards against gauges that do not show what the entry knows. */
    @Test
    void gaugesShowTheView() {
        NodeFixture entry = new NodeFixture(BOUND_MILLIS, HALLS);
        entry.startServing("w1");
        assertEquals(0, gauge(entry, "cordons.halls"));
        entry.store.set(FakeRecords.CORDONS + "north", "{}");
        entry.advance(100);
        assertEquals(1, gauge(entry, "cordons.halls"));
        entry.store.mutedPrefix = records.operatorPrefix();
        entry.advance(1_000);
        long age = gauge(entry, "cordons.age.millis");
        assertTrue(age >= 1_000, () -> "age " + age);
    }

    private static long gauge(NodeFixture entry, String name) {
        Gauge<?> gauge =
                Objects.requireNonNull(entry.meters.registry().getGauges().get(name));
        return ((Number) gauge.getValue()).longValue();
    }
}

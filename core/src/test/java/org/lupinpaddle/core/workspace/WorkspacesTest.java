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
package org.lupinpaddle.core.workspace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.workspace.Workspaces.Rejected;

/** Handling of invalid workspace entries, and lookup of workspaces by key. */
class WorkspacesTest {

    private static Workspace workspace(String name, String... keys) {
        return new Workspace(name, List.of(keys).stream().map(KeyDigest::of).toList(), 1, new Resources(1_000, 0, 0));
    }

    private static Workspaces of(Workspace... all) {
        return Workspaces.of(List.of(all), List.of()).withFallback(Workspaces.NONE);
    }

    private static Rejected rejected(String name) {
        return new Rejected(name, Unreadable.Reason.OUT_OF_RANGE.in("maximum.cpu"));
    }

    private static String holder(Workspaces w, String key) {
        return w.findByKey(KeyDigest.of(key)).map(Workspace::name).orElse("");
    }

    @Nested
    class AKey {

        @Test
        void belongsToItsWorkspace() {
            Workspaces w = of(workspace("news", "k1", "k2"), workspace("archive", "k3"));
            assertEquals("news", holder(w, "k2"));
            assertEquals("archive", holder(w, "k3"));
        }

        @Test
        void thatIsUnknownBelongsToNoWorkspace() {
            Workspaces w = of(workspace("news", "k1"), workspace("none"));
            assertEquals("", holder(w, "k9"));
            assertEquals(Optional.empty(), w.findByKey(null));
        }

        @Test
        void isNotRevealedByItsDigest() {
            KeyDigest d = KeyDigest.of("a-secret-key");
            assertFalse((d.toHex() + d).contains("a-secret-key"));
            assertEquals(d, KeyDigest.fromHex(d.toHex()));
            assertNotEquals(d, KeyDigest.of("a-secret-kez"));
        }
    }

    @Nested
    class AnInvalidEntry {

        private final Workspaces before = of(workspace("news", "k1"), workspace("archive", "k2"));

        /** Guards against an invalid entry keeping a revoked key of another workspace valid. */
        @Test
        void doesNotBlockValidEntries() {
            Workspaces next = Workspaces.of(List.of(workspace("archive", "k3")), List.of(rejected("news")))
                    .withFallback(before);
            assertEquals("", holder(next, "k2"));
            assertEquals("archive", holder(next, "k3"));
            assertEquals("news", holder(next, "k1"));
        }

        @Test
        void ofAnUnknownWorkspaceIsIgnored() {
            Workspaces next =
                    Workspaces.of(List.of(), List.of(rejected("sports"))).withFallback(before);
            assertEquals(List.of(), next.all());
        }

        /** Guards against accepting a key for the workspace that no longer holds it. */
        @Test
        void losesAKeyThatMovesToAnotherWorkspace() {
            Workspaces next = Workspaces.of(List.of(workspace("archive", "k1")), List.of(rejected("news")))
                    .withFallback(before);
            assertEquals("archive", holder(next, "k1"));
        }

        @Test
        void isOneThatSharesAKey() {
            Workspaces next =
                    Workspaces.of(List.of(workspace("news", "k1", "k2"), workspace("archive", "k2")), List.of());
            assertEquals(
                    List.of("news", "archive"),
                    next.rejected().stream().map(Rejected::name).toList());
            assertEquals("archive", holder(next.withFallback(before), "k2"));
        }

        @Test
        void isOneThatRepeatsAName() {
            Workspaces next = Workspaces.of(List.of(workspace("news", "k5"), workspace("news", "k6")), List.of());
            assertEquals(2, next.rejected().size());
            assertEquals("", holder(next.withFallback(before), "k5"));
            assertEquals("news", holder(next.withFallback(before), "k1"));
        }
    }
}

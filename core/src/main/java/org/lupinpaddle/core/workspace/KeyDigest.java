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

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a workspace's API key. Only digests are stored, logged and compared, so that stored data and logs
 * do not reveal keys. Digests are compared in constant time to prevent timing attacks.
 */
public final class KeyDigest {

    private static final String ALGORITHM = "SHA-256";
    private static final int DISPLAY_CHARS = 8;

    private final byte[] digest;

    private KeyDigest(byte[] digest) {
        this.digest = digest;
    }

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            return new KeyDigest(MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
        }
    }

    /** Parses a digest written by {@link #toHex}. */
    @JsonCreator
    public static KeyDigest fromHex(String hex) {
        return new KeyDigest(HexFormat.of().parseHex(hex));
    }

    /** Returns the digest in hexadecimal. */
    @JsonValue
    public String toHex() {
        return HexFormat.of().formatHex(digest);
    }

    /** Compares in constant time. */
    @Override
    public boolean equals(Object o) {
        return o instanceof KeyDigest other && MessageDigest.isEqual(digest, other.digest);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(digest);
    }

    /** Returns a short prefix of the digest for log messages. */
    @Override
    public String toString() {
        return toHex().substring(0, DISPLAY_CHARS);
    }
}

package eiderscale.handover;

import eiderscale.ledger.SpentIds;
import eiderscale.net.Clock;
import eiderscale.net.Counters;
import eiderscale.net.IdClaims;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HexFormat;

/**
 * Claims on the ids of unsafe requests while two processes serve as one balancer: an empty file for each, in a folder that
 * both have. Making a file that must not be there is atomic, so that one of the two gets it, whichever comes first. A claim
 * lasts until its request is answered; where its client leaves first it stays for as long as such ids are remembered.
 */
final class SharedIds implements IdClaims {
    private static final long NEVER = Long.MAX_VALUE;

    /** Null where processes share nothing. */
    private final Path folder;
    private boolean active;
    private long endAt = NEVER;
    private boolean hasFailed;

    /** {@code folder}: of this balancer's claims, made when it is needed; or null. */
    SharedIds(Path folder) {
        this.folder = folder;
    }

    /**
     * Another process begins to serve beside this one: its own ids are claimed, and no others unless those of a process before it
     * count still.
     */
    void beginLeading(Collection<String> own) {
        if (!active) {
            clear();
        }
        begin();
        own.forEach(this::claim);
    }

    /** Whether there are claims of processes before this one, which may have run what they name. */
    boolean isClaimed() {
        return folder != null && Files.isDirectory(folder);
    }

    /** This process begins to serve beside another one, which has made its claims. */
    void begin() {
        if (folder == null) {
            return;
        }
        active = true;
        endAt = NEVER;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            failed(e);
        }
    }

    /** Whether claims are made. */
    boolean isActive() {
        return active;
    }

    /** The other process has ended; what it has claimed counts on for a while. To be called until {@link #isActive} is false. */
    void endSoon() {
        long now = Clock.now();
        if (active && endAt == NEVER) {
            endAt = now + SpentIds.KEPT;
        } else if (active && now >= endAt) {
            active = false;
            clear();
        }
    }

    private Path file(String id) {
        return folder.resolve(HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public Claim claim(String id) {
        if (!active) {
            return Claim.GRANTED;
        }
        try {
            Files.createFile(file(id));
            return Claim.GRANTED;
        } catch (FileAlreadyExistsException e) {
            return Claim.TAKEN;
        } catch (IOException e) {
            failed(e);
            return Claim.UNKNOWN;
        }
    }

    @Override
    public void release(String id) {
        if (active) {
            try {
                Files.deleteIfExists(file(id));
            } catch (IOException e) {
                failed(e);
            }
        }
    }

    private void failed(IOException e) {
        if (!hasFailed) {
            hasFailed = true;
            Counters.log("hand-over: ids of unsafe requests can't be claimed, and such requests are refused while another process serves: " + e);
        }
    }

    private void clear() {
        if (folder == null || !Files.isDirectory(folder)) {
            return;
        }
        try (DirectoryStream<Path> claims = Files.newDirectoryStream(folder)) {
            for (Path claim : claims) {
                Files.deleteIfExists(claim);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            failed(e);
        }
    }
}
